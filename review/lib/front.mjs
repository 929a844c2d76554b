import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer, get } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";

const ROOT = new URL("../..", import.meta.url).pathname;
/** Ports of one front process: clients, readiness, control and its own range. */
const PORTS_PER_FRONT = 20;
const FIRST_PORT = 21_000;
const LAST_PORT = 31_000;

/** The bounds of the deployment voep-frequenz. */
export const BOUNDS = {
    seedLagS: 3,
    addrReuseS: 2,
    contactMs: 3000,
    ackMs: 4000,
    catchUpS: 4,
    drainMs: 2000,
    graceS: 8,
    lossSlackMs: 200,
    configApplyMs: 2000,
    rollbackSlackMs: 250,
    maxStretchMs: 5000,
    budgetRatio: 0.2,
    budgetWindowS: 10,
    retrySlack: 52,
    recoverS: 12,
    passMs: 120,
    againS: 0,
    fencingRequired: true,
    leaseMs: 3000,
    thawSlackMs: 300,
    ceilingWindowS: 5,
    ceilingOver: 1.1,
    version_ms: 5000,
};

/** Returns the program and its arguments as the deploy file states them. */
function readCommand() {
    const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const run = /^run = "(.*)"$/m.exec(text)?.[1];
    if (run === undefined) {
        throw new Error("the deploy file names no program");
    }
    return run.split(" ");
}

function isFree(port) {
    return new Promise(resolve => {
        const probe = createServer();
        probe.once("error", () => resolve(false));
        probe.listen(port, "127.0.0.1", () => probe.close(() => resolve(true)));
    });
}

async function findPorts(count) {
    const blocks = [];
    const blockCount = Math.floor((LAST_PORT - FIRST_PORT) / PORTS_PER_FRONT);
    // Runs at the same time have process ids close to each other; this keeps their ports apart.
    const start = process.pid * 61 % blockCount;
    for (let step = 0; step < blockCount && blocks.length < count; step += 1) {
        const first = FIRST_PORT + (start + step) % blockCount * PORTS_PER_FRONT;
        const ports = Array.from({ length: PORTS_PER_FRONT }, (_, offset) => first + offset);
        const free = await Promise.all(ports.map(isFree));
        if (free.every(Boolean)) {
            blocks.push(first);
        }
    }
    if (blocks.length < count) {
        throw new Error("not enough free ports");
    }
    return blocks;
}

/** Starts front processes with the command of the deploy file, on loopback, in the zones of the deployment. */
export async function startFronts({ count, zones, storePort, bounds = BOUNDS, memoryMb = 350 }) {
    const folder = await mkdtemp(join(tmpdir(), "fulmarcleat-review-"));
    const [program, ...args] = readCommand();
    const blocks = await findPorts(count);
    const fronts = [];
    const describe = index => {
        const zone = zones[index % zones.length];
        const name = `front-${zone}-${Math.floor(index / zones.length) + 1}`;
        return { first: blocks[index], zone, name, file: join(folder, `${name}.json`) };
    };
    const writeSettings = async (index, isFirstStart, named) => {
        const { first, zone, name, file } = describe(index);
        const ip = "127.0.0.1";
        await writeFile(file, JSON.stringify({
            node: name,
            role: "front",
            machineClass: "front",
            serves: ["front"],
            ip,
            zone,
            region: "ostalpen",
            zones: Object.fromEntries(zones.map(each => [each, "ostalpen"])),
            listen: { front: `${ip}:${first}`, ready: `${ip}:${first + 1}`, control: `${ip}:${first + 2}` },
            portRange: [first + 3, first + PORTS_PER_FRONT - 1],
            seeds: [],
            bootstrap: isFirstStart,
            lossCounts: false,
            limits: { cpuShare: 0.675, cores: 1, memoryMb, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
            dataDir: null,
            discovery: "platform",
            entry: "vip",
            heartbeatMs: 1200,
            contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"],
            faultTolerance: { machines: 1, zones: 0, regions: 0 },
            bounds: named,
            platform: {
                address: `127.0.0.1:${storePort}`,
                form: "kv",
                writesPerS: 400,
                readsPerS: 2000,
                historyS: 20,
                valueBytes: 1_048_576,
                ttlMinMs: 1000,
            },
        }));
    };
    const start = async (index, isFirstStart) => {
        const { first, name, file } = describe(index);
        await writeSettings(index, isFirstStart, bounds);
        const { PATH, HOME, LANG } = process.env;
        const child = spawn(program === "node" ? process.execPath : program, args, {
            cwd: ROOT,
            env: { PATH, HOME, LANG, FULMARCLEAT_CONFIG: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const front = fronts[index] ?? { name, port: first, readyPort: first + 1, log: [], exits: [] };
        front.pid = child.pid;
        front.child = child;
        front.exited = new Promise(resolve => {
            child.once("exit", (code, signal) => {
                front.exits.push({ atMs: performance.now(), code, signal });
                resolve();
            });
        });
        createInterface({ input: child.stdout }).on("line", line => front.log.push(line));
        createInterface({ input: child.stderr }).on("line", line => front.log.push(line));
        fronts[index] = front;
    };
    await Promise.all(Array.from({ length: count }, (_, index) => start(index, true)));
    return {
        fronts,
        /** Starts a process anew that has ended, as the platform does. */
        restart: index => start(index, false),
        /** Changes the bounds in the settings file of a process and tells it so with SIGHUP, as the platform does. */
        async reload(index, changed) {
            await writeSettings(index, false, { ...bounds, ...changed });
            fronts[index].child.kill("SIGHUP");
        },
        async close() {
            fronts.forEach(({ child }) => child.exitCode === null && child.signalCode === null && child.kill("SIGKILL"));
            await Promise.all(fronts.map(({ exited }) => exited));
            await rm(folder, { recursive: true, force: true });
        },
    };
}

/** Asks a front process whether it is ready, as the platform does. */
export function isReady({ readyPort }) {
    return new Promise(resolve => {
        const req = get({ host: "127.0.0.1", port: readyPort, path: "/fulmarcleat/readiness", timeout: 500 }, res => {
            res.resume();
            resolve(res.statusCode === 200);
        });
        req.on("timeout", () => req.destroy());
        req.on("error", () => resolve(false));
    });
}

/** Waits until all front processes are ready; throws after `limitMs`. */
export async function waitUntilReady(fronts, limitMs) {
    const until = performance.now() + limitMs;
    while (!(await Promise.all(fronts.map(isReady))).every(Boolean)) {
        if (performance.now() > until) {
            throw new Error("the front processes did not become ready");
        }
        await new Promise(resolve => setTimeout(resolve, 100));
    }
}
