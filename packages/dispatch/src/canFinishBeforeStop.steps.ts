import { registerTable } from "@fulmarcleat/testing";
import { canFinishBeforeStop } from "./canFinishBeforeStop.js";

registerTable("canFinishBeforeStop", canFinishBeforeStop);
