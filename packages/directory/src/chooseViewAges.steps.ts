import { registerTable } from "@fulmarcleat/testing";
import { chooseViewAges } from "./chooseViewAges.js";

registerTable("chooseViewAges", chooseViewAges);
