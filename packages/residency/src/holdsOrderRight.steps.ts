import type { ClockReading } from "@fulmarcleat/ids";
import { registerTable } from "@fulmarcleat/testing";
import { holdsOrderRight } from "./holdsOrderRight.js";

// JSON has no undefined.
registerTable(
    "holdsOrderRight",
    (confirmedFrom: ClockReading | null, now: ClockReading) => holdsOrderRight(confirmedFrom ?? undefined, now),
);
