import { registerTable } from "@fulmarcleat/testing";
import { chooseHandover } from "./chooseHandover.js";

registerTable("chooseHandover", chooseHandover);
