import { registerTable } from "@fulmarcleat/testing";
import { parseModel } from "./parseModel.js";

registerTable("parseModel", parseModel);
