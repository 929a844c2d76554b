import { registerTable } from "@fulmarcleat/testing";
import { decideEngineClaim } from "./decideEngineClaim.js";

registerTable("decideEngineClaim", decideEngineClaim);
