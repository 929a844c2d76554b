import { registerTable } from "@fulmarcleat/testing";
import { describeHealth } from "./describeHealth.js";

registerTable("describeHealth", describeHealth);
