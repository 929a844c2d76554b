import { registerTable } from "@fulmarcleat/testing";
import { isHopeless } from "./isHopeless.js";

registerTable("isHopeless", isHopeless);
