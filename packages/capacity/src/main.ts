import { writeFile } from "node:fs/promises";
import { hideBin } from "yargs/helpers";
import yargs from "yargs/yargs";
import type { CapacityMeasure } from "./capacityMeasure.js";
import { measureConfig } from "./measureConfig.js";
import { measureFrames } from "./measureFrames.js";
import type { FrameCost } from "./measureFrames.js";
import { measureMembership } from "./measureMembership.js";
import { measureOwner } from "./measureOwner.js";

/** Number of significant digits of each printed figure. */
const SIGNIFICANT_DIGITS = 3;

function formatNumber(value: number): string {
    return Number(value.toPrecision(SIGNIFICANT_DIGITS)).toString();
}

function formatMeasure(measure: CapacityMeasure): string {
    const readings = measure.readings.map(reading => `${reading.size}: ${formatNumber(reading.value)}`).join(", ");
    return `${measure.name} by ${measure.size} (${measure.unit}): ${readings}; slope ${
        formatNumber(measure.slope.perUnit)
    }, fixed ${formatNumber(measure.slope.fixed)}`;
}

function formatFrame(cost: FrameCost): string {
    return `frame ${cost.name}: ${cost.bytes} bytes, ${formatNumber(cost.us)} us`;
}

const args = await yargs(hideBin(process.argv))
    .scriptName("capacity")
    .usage("$0\n\nMeasures the slopes that docs/CAPACITY.md is computed from. Requires node --expose-gc.")
    .option("json", { type: "string", describe: "file to write the results to, as JSON" })
    .strict()
    .parse();
const frames = measureFrames();
frames.forEach(cost => process.stdout.write(`${formatFrame(cost)}\n`));
const measures = [...measureOwner(), ...await measureMembership(), ...measureConfig()];
measures.forEach(measure => process.stdout.write(`${formatMeasure(measure)}\n`));
if (args.json !== undefined) {
    await writeFile(args.json, JSON.stringify({ frames, measures }, undefined, 4));
}
