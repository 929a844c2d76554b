import { registerTable } from "@fulmarcleat/testing";
import { readRetryAfterMs } from "./readRetryAfterMs.js";

registerTable("readRetryAfterMs", readRetryAfterMs);
