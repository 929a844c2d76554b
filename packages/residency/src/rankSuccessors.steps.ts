import { registerTable } from "@fulmarcleat/testing";
import { rankSuccessors } from "./rankSuccessors.js";

registerTable("rankSuccessors", rankSuccessors);
