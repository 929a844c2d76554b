import { brandId } from "@fulmarcleat/ids";
import type { EngineId, FailureDomain, ServiceName } from "@fulmarcleat/ids";
import { strictEqual, Then } from "@fulmarcleat/testing";
import type { EngineEntry } from "./engineEntry.js";
import { reduceDirectory } from "./reduceDirectory.js";
import type { DirectoryMessage, DirectoryState } from "./reduceDirectory.js";

const EMPTY: DirectoryState = { engines: new Map(), graceUntilMs: 0, gone: new Map() };

Then(
    /^the directory after (.*) at (\d+) ms uses "(.*)" and knows "(.*)"$/,
    (messages: string, at: string, used: string, known: string) => {
        const state = messages.split(" ").map(parseMessage).reduce(reduceDirectory, EMPTY);
        const engines = [...state.engines];
        strictEqual(engines.filter(([, engine]) => engine.isUsable).map(([id]) => id).sort().join(" "), used);
        strictEqual(engines.map(([id]) => id).sort().join(" "), known);
    },
);

function parseMessage(text: string): DirectoryMessage {
    const [body = "", at = "0"] = text.split("@");
    const atMs = Number(at);
    const [kind, rest = ""] = body.split(":");
    const [id = "", ...marks] = rest.split(",");
    const born = marks.find(mark => mark.startsWith("born="));
    const bornMs = born === undefined ? undefined : Number(born.slice("born=".length));
    const engine = brandId<EngineId>(id);
    switch (kind) {
        case "entry":
            return { kind, entry: createEntry(engine, marks.includes("draining"), bornMs), atMs };
        case "removed":
            return { kind, engine, atMs };
        case "listed":
        case "restored": {
            const entries = [createEntry(engine, false, bornMs)];
            return { kind: "listed", entries, isRestored: kind === "restored", atMs };
        }
        case "returned":
            return { kind: "store_returned", atMs };
        case "replaced":
            return { kind, engine, bornMs };
        default:
            return { kind: "tick", atMs };
    }
}

function createEntry(id: EngineId, isDraining: boolean, bornMs: number | undefined): EngineEntry {
    return {
        id,
        service: brandId<ServiceName>("s"),
        address: { ip: "127.0.0.1", port: 1 },
        domain: brandId<FailureDomain>("d"),
        isDraining,
        softwareVersion: undefined,
        leavesInMs: undefined,
        bornMs,
        slots: 1,
        models: [],
    };
}
