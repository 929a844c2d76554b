import { brandId } from "@fulmarcleat/ids";
import type { EngineId, FailureDomain } from "@fulmarcleat/ids";
import type { AdapterPresence, ModelEngineView } from "./engineView.js";
import { UNKNOWN_HEALTH } from "./reduceHealth.js";

/**
 * Parses a model engine from a table cell of a scenario.
 *
 * @param text - Id, presence and marks, as in `a:present,load=9`
 * @returns the engine's state
 *
 * @example
 * parseModelEngine("a:coming+150").presence; // { kind: "coming", readyInMs: 150 }
 */
export function parseModelEngine(text: string): ModelEngineView {
    const [head = "", ...marks] = text.split(",");
    const [id = "", state = ""] = head.split(":");
    const [kind, wait = "0"] = state.split("+");
    const canLoad = !marks.includes("unowned");
    const presence: AdapterPresence = kind === "present"
        ? { kind }
        : kind === "coming"
        ? { kind, readyInMs: Number(wait) }
        : { kind: "absent", placeWaitMs: Number(wait), canLoad };
    const read = (name: string): number | undefined => {
        const mark = marks.find(entry => entry.startsWith(`${name}=`));
        return mark === undefined ? undefined : Number(mark.slice(name.length + 1));
    };
    const speed = read("speed");
    const pace = speed === undefined ? undefined : {
        promptTokensPerMs: speed,
        eventMs: 1300 / speed,
        idleFirstByteMs: 20,
        workMs: 20,
        slowdown: read("slow") ?? 1,
    };
    const work = {
        promptTokens: read("prompt") ?? 0,
        eventTokens: 5,
        outputTokens: read("answer") ?? 50,
        promptTokensPerS: read("prompts") ?? 0,
        maxPauseMs: 400,
        memoryPart: read("memory") ?? 0.3,
    };
    return {
        ...createEngine(id, presence, 64),
        ...(pace === undefined ? {} : { pace, work }),
        load: read("load") ?? 0,
        queuedTokens: read("tokens") ?? 0,
        isUnresponsive: marks.includes("silent"),
        leavesInMs: read("leaves"),
    };
}

function createEngine(id: string, presence: AdapterPresence, slots: number): ModelEngineView {
    return {
        id: brandId<EngineId>(id),
        domain: brandId<FailureDomain>("d"),
        slots,
        load: 0,
        queuedTokens: 0,
        health: UNKNOWN_HEALTH,
        isUnresponsive: false,
        leavesInMs: undefined,
        presence,
    };
}
