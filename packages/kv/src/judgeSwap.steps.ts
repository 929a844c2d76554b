import { registerTable } from "@fulmarcleat/testing";
import { judgeSwap } from "./judgeSwap.js";
import type { SwapAttempt } from "./judgeSwap.js";

registerTable(
    "judgeSwap",
    (attempt: SwapAttempt, value: string, wasLost: boolean) =>
        judgeSwap(attempt, { value, wasLost, isOwn: current => current.split("+").includes(value) }),
);
