import { registerTable } from "@fulmarcleat/testing";
import { chooseVictim } from "./chooseVictim.js";

registerTable("chooseVictim", chooseVictim);
