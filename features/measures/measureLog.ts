import { createJsonLog } from "@fulmarcleat/events";

/** Lines written in each measurement. */
const LINE_COUNT = 200_000;
const MS_PER_SECOND = 1000;

let wallMs = 0;
let bytes = 0;
const sink = {
    write(text: string): boolean {
        bytes += text.length;
        return true;
    },
    once: () => undefined,
};
const log = createJsonLog({
    process: "front-a-1",
    sink,
    readWallMs: () => wallMs,
    linesPerSecond: LINE_COUNT,
    capacity: 2000,
});
/** Measures the processor time and the size of a line. */
const measure = (name: string, write: (at: number) => void): void => {
    wallMs += MS_PER_SECOND;
    bytes = 0;
    const started = process.cpuUsage();
    for (let at = 0; at < LINE_COUNT; at += 1) {
        write(at);
    }
    const used = process.cpuUsage(started);
    const usPerLine = (used.user + used.system) / LINE_COUNT;
    process.stdout.write(`${name}: ${usPerLine.toFixed(2)} µs a line, ${Math.round(bytes / LINE_COUNT)} bytes\n`);
};

measure("request sent", at => {
    log.write("info", 405, { id: `9c41d07be2a3${at}`, engine: "i-7f3a91c2", adapter: "a2672", version: undefined });
});
measure("request answered", at => {
    log.write("info", 406, {
        id: `9c41d07be2a3${at}`,
        status: 200,
        tookMs: 812,
        route: "r-vqc7ghf",
        goalMs: 800,
        sentAfterMs: 4,
        firstByteAfterMs: 310,
    });
});
