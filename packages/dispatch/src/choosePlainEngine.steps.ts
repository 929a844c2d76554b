import { brandId } from "@fulmarcleat/ids";
import type { EngineId, FailureDomain } from "@fulmarcleat/ids";
import { strictEqual, Then } from "@fulmarcleat/testing";
import { choosePlainEngine } from "./choosePlainEngine.js";
import type { EngineView } from "./engineView.js";
import { UNKNOWN_HEALTH } from "./reduceHealth.js";

const AT_MS = 1000;

Then(
    /^the plain request from domain "(\w+)" among (.*) goes to "(\w+)"$/,
    (domain: string, text: string, id: string) => {
        const engines = text.split(" ").map(parseEngine);
        const ownDomain = brandId<FailureDomain>(domain);
        strictEqual(choosePlainEngine({ engines, ownDomain, atMs: AT_MS, draw: 0 })?.id, id);
    },
);

function parseEngine(text: string): EngineView {
    const [head = "", ...marks] = text.split(",");
    const [id = "", domain = ""] = head.split("@");
    const read = (name: string): number | undefined => {
        const mark = marks.find(entry => entry.startsWith(`${name}=`));
        return mark === undefined ? undefined : Number(mark.slice(name.length + 1));
    };
    return {
        id: brandId<EngineId>(id),
        domain: brandId<FailureDomain>(domain),
        slots: 6,
        load: read("load") ?? 0,
        queuedTokens: 0,
        health: {
            ...UNKNOWN_HEALTH,
            failureShare: read("fails") ?? 0,
            firstByteMs: read("first"),
            blockedUntilMs: marks.includes("blocked") ? AT_MS + 1 : 0,
            changedAtMs: AT_MS,
        },
        isUnresponsive: marks.includes("silent"),
        leavesInMs: undefined,
    };
}
