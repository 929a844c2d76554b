import { registerTable } from "@fulmarcleat/testing";
import { decideAvailable } from "./decideAvailable.js";

registerTable("decideAvailable", decideAvailable);
