import { registerTable } from "@fulmarcleat/testing";
import { addSample } from "./addSample.js";

registerTable("addSample", addSample);
