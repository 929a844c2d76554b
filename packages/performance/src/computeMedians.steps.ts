import { registerTable } from "@fulmarcleat/testing";
import { computeMedians } from "./computeMedians.js";

registerTable("computeMedians", computeMedians);
