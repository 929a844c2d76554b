import { createJsonLog } from "@fulmarcleat/events";

const LINES = 200_000;
const MS_PER_S = 1000;

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
    linesPerSecond: LINES,
    capacity: 2000,
});
const measure = (name: string, write: (at: number) => void): void => {
    wallMs += MS_PER_S;
    bytes = 0;
    const started = process.cpuUsage();
    for (let at = 0; at < LINES; at += 1) {
        write(at);
    }
    const used = process.cpuUsage(started);
    const us = (used.user + used.system) / LINES;
    process.stdout.write(`${name}: ${us.toFixed(2)} µs a line, ${Math.round(bytes / LINES)} bytes\n`);
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
