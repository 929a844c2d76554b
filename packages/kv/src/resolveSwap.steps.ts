import { registerTable } from "@fulmarcleat/testing";
import { resolveSwap } from "./resolveSwap.js";
import type { SwapAttempt } from "./resolveSwap.js";

registerTable(
    "resolveSwap",
    (attempt: SwapAttempt, value: string, wasLost: boolean) =>
        resolveSwap(attempt, { value, wasLost, isOwn: current => current.split("+").includes(value) }),
);
