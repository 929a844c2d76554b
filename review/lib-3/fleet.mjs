// Starts front processes with the command of the deploy file, each with a settings file of its own.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { sleep } from "./http.mjs";

const ROOT = new URL("../../", import.meta.url).pathname;
const READY_MS = 20_000;

/** Finds free ports of an address. */
async function findFreePorts(ip, count) {
    const servers = [];
    for (let at = 0; at < count; at += 1) {
        const server = createServer();
        await new Promise((resolve, reject) => {
            server.on("error", reject);
            server.listen(0, ip, resolve);
        });
        servers.push(server);
    }
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => void server.close(resolve))));
    return ports;
}

/** Finds three ports in a row that are free on an address. */
async function findRange(ip) {
    for (let tries = 0; tries < 200; tries += 1) {
        const [first] = await findFreePorts(ip, 1);
        const free = await Promise.all([first, first + 1, first + 2].map(port =>
            new Promise(resolve => {
                const server = createServer();
                server.on("error", () => resolve(false));
                server.listen(port, ip, () => server.close(() => resolve(true)));
            })
        ));
        if (free.every(Boolean)) {
            return [first, first + 2];
        }
    }
    throw new Error("no free ports");
}

/**
 * Starts front processes and waits until all are ready.
 *
 * @param options - names (of the machines), zones, store, bounds, contracts, logFile
 * @returns the processes and `close`
 */
export async function startFleet({ names, zones, store, bounds = {}, contracts, storePorts = {} }) {
    const folder = mkdtempSync(join(tmpdir(), "review-3-"));
    const toml = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const [program, ...args] = /^run = "(.*)"$/m.exec(toml)[1].split(" ");
    const fronts = [];
    for (const [at, name] of names.entries()) {
        const ip = `127.0.${20 + process.pid % 200}.${10 + at}`;
        const [front, ready] = await findFreePorts(ip, 2);
        const portRange = await findRange(ip);
        const file = join(folder, `${name}.json`);
        const zone = zones[at % zones.length];
        const write = bootstrap =>
            writeFileSync(
                file,
                JSON.stringify({
                    node: name,
                    role: "front",
                    machineClass: "front",
                    serves: ["front"],
                    ip,
                    zone,
                    region: "jylland",
                    zones: Object.fromEntries(zones.map(other => [other, "jylland"])),
                    listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
                    portRange,
                    seeds: [],
                    bootstrap,
                    lossCounts: false,
                    limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
                    dataDir: null,
                    discovery: "platform",
                    entry: "vip",
                    heartbeatMs: 1200,
                    contracts: contracts ?? [
                        "base",
                        "drain",
                        "config",
                        "cost",
                        "retry",
                        "recover",
                        "fleet",
                        "stream",
                        "engine",
                        "platform",
                    ],
                    faultTolerance: { machines: 1, zones: 0, regions: 0 },
                    bounds: {
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
                        retrySlack: 56,
                        recoverS: 12,
                        passMs: 120,
                        againS: 0,
                        fencingRequired: true,
                        leaseMs: 3000,
                        thawSlackMs: 300,
                        ceilingWindowS: 5,
                        ceilingOver: 1.1,
                        version_ms: 5000,
                        ...bounds,
                    },
                    platform: {
                        address: `127.0.0.1:${storePorts[name] ?? store.port}`,
                        form: "kv",
                        writesPerS: 400,
                        readsPerS: 2000,
                        historyS: 20,
                        valueBytes: 1_048_576,
                        ttlMinMs: 1000,
                    },
                }),
            );
        write(true);
        const handle = { name, ip, front, ready, portRange, zone, file, child: undefined, exits: [], logs: [] };
        handle.start = () => {
            const child = spawn(program === "node" ? process.execPath : program, args, {
                cwd: ROOT,
                env: { PATH: process.env.PATH, HOME: process.env.HOME, FULMARCLEAT_CONFIG: file },
                stdio: ["ignore", "pipe", "pipe"],
            });
            handle.child = child;
            const keep = chunk => {
                handle.logs.push(chunk.toString("utf8"));
                if (process.env.FRONT_LOGS !== undefined) {
                    appendFileSync(join(process.env.FRONT_LOGS, `${name}.log`), chunk);
                }
            };
            child.stdout.on("data", keep);
            child.stderr.on("data", keep);
            child.on("exit", (code, signal) => {
                handle.exits.push({ code, signal });
                if (handle.child === child) {
                    handle.child = undefined;
                }
            });
        };
        handle.isReady = async () => {
            try {
                const res = await fetch(`http://${ip}:${ready}/fulmarcleat/readiness`, {
                    signal: AbortSignal.timeout(500),
                });
                return res.status === 200;
            }
            catch {
                // It isn't up yet.
                return false;
            }
        };
        handle.startAgain = () => {
            write(false);
            handle.start();
        };
        fronts.push(handle);
    }
    fronts.forEach(handle => handle.start());
    const untilMs = performance.now() + READY_MS;
    let isReady = false;
    while (!isReady && performance.now() < untilMs) {
        await sleep(100);
        isReady = (await Promise.all(fronts.map(handle => handle.isReady()))).every(Boolean);
    }
    return {
        fronts,
        isReady,
        async close() {
            const children = fronts.map(({ child }) => child).filter(child => child !== undefined);
            const ends = children.map(child => new Promise(resolve => void child.once("exit", resolve)));
            children.forEach(child => child.kill("SIGKILL"));
            await Promise.race([Promise.all(ends), sleep(3000)]);
            rmSync(folder, { recursive: true, force: true });
        },
    };
}
