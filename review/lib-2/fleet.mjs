// Starts front processes with the command of the deploy file, before the project's stand-ins for the store and engines.
import { createSystemClock } from "@fulmarcleat/ids";
import { createEngineStandin, createStoreStandin } from "@fulmarcleat/platform-standin";
import { spawn } from "node:child_process";
import { writeFileSync } from "node:fs";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const LOOPBACK = "127.0.0.1";
/** Delay after which the platform starts an ended process again, in milliseconds. */
const RESTART_MS = 300;
const PAGE_KB = 1024;

/** Bounds of the small sites' sheets. */
export const BOUNDS = {
    seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200,
    configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, budgetRatio: 0.2, budgetWindowS: 10, retrySlack: 56,
    recoverS: 12, passMs: 120, againS: 0, fencingRequired: true, leaseMs: 3000, thawSlackMs: 300, ceilingWindowS: 5,
    ceilingOver: 1.1, version_ms: 5000,
};
/** Memory of a machine on the small sites' sheets, in megabytes. */
export const MEMORY_MB = 350;

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));
export const clock = createSystemClock();

/** Returns the path of a temporary folder. */
export const makeFolder = () => mkdtemp(join(tmpdir(), "review-"));

/** Ports that the kernel gives to no outgoing connection, so that none is taken while a process is down. */
const PORTS = { from: 10_000, to: 30_000 };
const taken = new Set();

const isFree = port =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, LOOPBACK, () => server.close(() => resolve(true)));
    });

/** Finds consecutive free ports, as the settings name a range by its first and last one; returns the first. */
async function findPorts(count) {
    for (;;) {
        const first = PORTS.from + Math.floor(Math.random() * (PORTS.to - PORTS.from - count));
        const ports = Array.from({ length: count }, (unused, at) => first + at);
        if (ports.every(port => !taken.has(port)) && (await Promise.all(ports.map(isFree))).every(Boolean)) {
            ports.forEach(port => taken.add(port));
            return first;
        }
    }
}

async function readCommand() {
    const text = await readFile(join(ROOT, "deploy", "system.toml"), "utf8");
    const [, run] = /^run = "(.*)"$/m.exec(text);
    return run.split(" ");
}

/** Reads the memory of a process, in megabytes; undefined once it is gone. */
async function readMemoryMb(pid) {
    const text = await readFile(`/proc/${pid}/status`, "utf8").catch(() => "");
    const found = /^VmRSS:\s+(\d+) kB$/m.exec(text);
    return found === null ? undefined : Number(found[1]) / PAGE_KB;
}

/**
 * Starts a front process, and starts it again when it ends by itself. As the platform does, it kills a process that
 * exceeds its memory.
 */
export async function startFront({ name, zone, zones, storePort, folder, record, bootstrap = true, bounds = {} }) {
    const client = await findPorts(10);
    const ready = client + 1;
    const first = client + 2;
    const file = join(folder, `${name}.json`);
    const settings = {
        node: name, role: "front", machineClass: "front", serves: ["front"], ip: LOOPBACK, zone, region: "r",
        zones: Object.fromEntries(zones.map(each => [each, "r"])),
        listen: { front: `${LOOPBACK}:${client}`, ready: `${LOOPBACK}:${ready}` },
        portRange: [first, first + 7], seeds: [], bootstrap, lossCounts: false,
        limits: { cpuShare: 0.675, cores: 1, memoryMb: MEMORY_MB, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
        dataDir: null, discovery: "platform", entry: "vip", heartbeatMs: 1200,
        contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"],
        faultTolerance: { machines: 1, zones: 0, regions: 0 },
        bounds: { ...BOUNDS, ...bounds },
        platform: { address: `${LOOPBACK}:${storePort}`, form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20,
            valueBytes: 1_048_576, ttlMinMs: 1000 },
    };
    await writeFile(file, JSON.stringify(settings));
    const [program, ...words] = await readCommand();
    const front = { name, client, ready, first, ends: 0, peakMb: 0, child: undefined, isClosed: false, output: [], isExpected: false };
    let starts = 0;
    const start = () => {
        // Only the first start is that of the whole system.
        starts += 1;
        if (starts > 1) {
            writeFileSync(file, JSON.stringify({ ...settings, bootstrap: false }));
        }
        const child = spawn(program, words, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, FULMARCLEAT_CONFIG: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        front.child = child;
        front.isExpected = false;
        child.stdout.on("data", bytes => front.output.push(bytes));
        child.stderr.on("data", bytes => record(`${name} stderr ${String(bytes).slice(0, 300)}`));
        child.once("exit", (code, signal) => {
            if (front.isClosed) {
                return;
            }
            if (!front.isExpected) {
                front.ends += 1;
                record(`${name} ended by itself: ${code ?? signal}`);
                front.onEnd?.();
            }
            setTimeout(() => front.isClosed || front.isDown || start(), RESTART_MS);
        });
    };
    front.start = start;
    front.signal = signal => {
        front.isExpected ||= signal === "SIGKILL" || signal === "SIGTERM";
        front.child.kill(signal);
    };
    front.readLog = () => Buffer.concat(front.output).toString("utf8").split("\n");
    front.close = async () => {
        front.isClosed = true;
        clearInterval(watch);
        front.child.kill("SIGKILL");
        await wait(50);
    };
    const watch = setInterval(async () => {
        const { child } = front;
        const mb = child?.exitCode === null ? await readMemoryMb(child.pid) : undefined;
        front.peakMb = Math.max(front.peakMb, mb ?? 0);
        if (mb > MEMORY_MB && child.exitCode === null) {
            record(`${name} exceeds its memory: ${Math.round(mb)} MB of ${MEMORY_MB}`);
            child.kill("SIGKILL");
        }
    }, 20);
    start();
    return front;
}

/** Waits until a front says that it is ready. */
export async function waitUntilReady({ ready }, timeoutMs = 15_000) {
    for (const untilMs = Date.now() + timeoutMs; Date.now() < untilMs; await wait(50)) {
        const res = await fetch(`http://${LOOPBACK}:${ready}/fulmarcleat/readiness`, { signal: AbortSignal.timeout(500) })
            .catch(() => undefined);
        if (res?.status === 200) {
            return;
        }
    }
    throw new Error("a front does not become ready");
}

export const removeFolder = folder => rm(folder, { recursive: true, force: true });
export { createEngineStandin, createStoreStandin };
