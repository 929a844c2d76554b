import { registerTable } from "@fulmarcleat/testing";
import { fitSlope } from "./fitSlope.js";

registerTable("fitSlope", fitSlope);
