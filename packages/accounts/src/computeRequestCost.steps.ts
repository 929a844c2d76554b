import { registerTable } from "@fulmarcleat/testing";
import { computeRequestCost } from "./computeRequestCost.js";

registerTable("computeRequestCost", computeRequestCost);
