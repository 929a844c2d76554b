import { registerTable } from "@fulmarcleat/testing";
import { adaptLoadRate } from "./adaptLoadRate.js";

registerTable("adaptLoadRate", adaptLoadRate);
