import { registerTable } from "@fulmarcleat/testing";
import { chooseRetryAfter } from "./chooseRetryAfter.js";

registerTable("chooseRetryAfter", chooseRetryAfter);
