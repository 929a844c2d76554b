import { registerTable } from "@fulmarcleat/testing";
import { chooseReuse } from "./chooseReuse.js";

registerTable("chooseReuse", chooseReuse);
