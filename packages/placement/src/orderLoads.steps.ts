import { registerTable } from "@fulmarcleat/testing";
import { orderLoads } from "./orderLoads.js";

registerTable("orderLoads", orderLoads);
