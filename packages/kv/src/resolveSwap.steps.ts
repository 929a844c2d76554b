import { registerTable } from "@fulmarcleat/testing";
import { judgeSwap } from "./resolveSwap.js";
import type { SwapAttempt } from "./resolveSwap.js";

registerTable(
    "resolveSwap",
    (attempt: SwapAttempt, value: string, wasLost: boolean) =>
        judgeSwap(attempt, { value, wasLost, isOwn: current => current.split("+").includes(value) }),
);
