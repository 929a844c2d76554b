import { registerTable } from "@fulmarcleat/testing";
import { decideAdmission } from "./decideAdmission.js";

registerTable("decideAdmission", decideAdmission);
