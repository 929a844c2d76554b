import { registerTable } from "@fulmarcleat/testing";
import { chooseEngine } from "./chooseEngine.js";

registerTable("chooseEngine", chooseEngine);
