import { registerTable } from "@fulmarcleat/testing";
import { adaptPace } from "./adaptLoadRate.js";

registerTable("adaptLoadRate", adaptPace);
