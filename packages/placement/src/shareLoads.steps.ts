import { registerTable } from "@fulmarcleat/testing";
import { shareLoads } from "./shareLoads.js";

registerTable("shareLoads", shareLoads);
