import { registerTable } from "@fulmarcleat/testing";
import { decodePace, encodePace } from "./encodePace.js";

registerTable("encodePace", encodePace);
registerTable("decodePace", decodePace);
