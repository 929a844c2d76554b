import { registerTable } from "@fulmarcleat/testing";
import { countAllowedLoads } from "./countAllowedLoads.js";

registerTable("countAllowedLoads", countAllowedLoads);
