import { registerTable } from "@fulmarcleat/testing";
import { decideRetry } from "./decideRetry.js";

registerTable("decideRetry", decideRetry);
