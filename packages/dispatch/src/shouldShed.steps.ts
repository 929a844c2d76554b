import { registerTable } from "@fulmarcleat/testing";
import { isHopeless } from "./shouldShed.js";

registerTable("shouldShed", isHopeless);
