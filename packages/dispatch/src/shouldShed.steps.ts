import { registerTable } from "@fulmarcleat/testing";
import { shouldShed } from "./shouldShed.js";

registerTable("shouldShed", shouldShed);
