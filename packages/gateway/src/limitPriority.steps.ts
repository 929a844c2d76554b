import { registerTable } from "@fulmarcleat/testing";
import { limitPriority } from "./limitPriority.js";

registerTable("limitPriority", limitPriority);
