import { strictEqual, Then } from "@fulmarcleat/testing";
import { estimateQuantile } from "./estimateQuantile.js";
import type { SampleWindow } from "./sampleWindow.js";

Then(
    /^estimateQuantile of samples (.*) for share ([\d.]+) at (\d+) ms gives (\w+)$/,
    (samples: string, share: string, at: string, result: string) => {
        const quantile = estimateQuantile(parseSamples(samples), {
            share: Number(share),
            read: ({ ms }) => ms,
            weigh: () => 1,
            decay: { halfLifeSamples: 4, halfLifeMs: 1000 },
            atMs: Number(at),
        });
        strictEqual(String(quantile), result);
    },
);

function parseSamples(text: string): SampleWindow {
    return text.split(" ").filter(part => part !== "").map(part => {
        const [ms, atMs] = part.split("@").map(Number);
        return { ms: ms ?? 0, tokens: 0, atMs: atMs ?? 0 };
    });
}
