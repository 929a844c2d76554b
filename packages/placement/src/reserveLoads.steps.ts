import { registerTable } from "@fulmarcleat/testing";
import { reserveLoads } from "./reserveLoads.js";

registerTable("reserveLoads", reserveLoads);
