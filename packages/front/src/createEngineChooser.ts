import type { KnownEngine, Service } from "@fulmarcleat/directory";
import { chooseModelEngine, choosePlainEngine, pickCandidates } from "@fulmarcleat/dispatch";
import type { ModelChoice, ModelEngineView } from "@fulmarcleat/dispatch";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import type { EngineBoard } from "./createEngineBoard.js";
import type { Knowledge } from "./createKnowledge.js";
import type { FrontContext } from "./frontContext.js";
import type { RequestWork } from "./requestWork.js";
import type { AdapterBoard, WantedAdapter } from "./startAdapterBoard.js";

/** An engine that a request may go to. */
export interface ChosenEngine {
    readonly known: KnownEngine;
    /** Expected time to the first byte, in milliseconds. */
    readonly expectedMs: number;
}

/** Chooses engines for requests. */
export interface EngineChooser {
    /** Lists a service's engines that may be given requests. */
    list(service: Service): readonly KnownEngine[];
    /** Chooses one of the engines; undefined where there is none. */
    choose(work: RequestWork, allowed: readonly KnownEngine[]): Promise<ChosenEngine | undefined>;
}

/** Time without a byte after which an engine with requests under way counts as silent, in milliseconds. */
const PLAIN_SILENT_MS = 400;
/** The same for a model engine, whose long prompts take time, in milliseconds. */
const MODEL_SILENT_MS = 900;
/** Usual time of an adapter's load, in milliseconds; the deployments state 250 to 288. */
const USUAL_LOAD_MS = 260;

/**
 * Creates what chooses engines from what this host knows and what owners tell it.
 *
 * @param context - Clock, hash and policy
 * @param knowledge - The engines
 * @param board - What this host sees of engines
 * @param adapters - What is known of adapters on engines
 * @returns the chooser
 *
 * @example
 * const chosen = await createEngineChooser(context, knowledge, board, adapters).choose(work, allowed);
 */
export function createEngineChooser(
    context: FrontContext,
    knowledge: Knowledge,
    board: EngineBoard,
    adapters: AdapterBoard,
): EngineChooser {
    const { clock, hash, random } = context;
    const choosePlain = (allowed: readonly KnownEngine[]): ChosenEngine | undefined => {
        const engines = allowed.map(known => board.view(known, PLAIN_SILENT_MS));
        const { domain } = context.deployment;
        const view = choosePlainEngine({ engines, ownDomain: domain, atMs: clock.nowMs(), draw: random.next() });
        const known = allowed.find(({ entry }) => entry.id === view?.id);
        return known === undefined ? undefined : { known, expectedMs: 0 };
    };
    const viewModelEngine = (known: KnownEngine, wanted: WantedAdapter | undefined): ModelEngineView => {
        const view = board.view(known, MODEL_SILENT_MS);
        const load = Math.max(view.load, adapters.countLoad(known.entry.id) ?? 0);
        const queuedTokens = Math.max(view.queuedTokens, adapters.countQueued(known.entry.id) ?? 0);
        return { ...view, load, queuedTokens, presence: adapters.find(known.entry, wanted) };
    };
    const chooseModel = async (
        { requestId, wanted }: RequestWork,
        allowed: readonly KnownEngine[],
    ): Promise<ChosenEngine | undefined> => {
        const byId = new Map(allowed.map(known => [known.entry.id, known]));
        const order = rankByRendezvous(hash, wanted?.adapter ?? requestId, [...byId.keys()]);
        const describe = (engines: readonly KnownEngine[]): ModelChoice => ({
            engines: engines.map(known => viewModelEngine(known, wanted)),
            order,
            atMs: clock.nowMs(),
            loadMs: USUAL_LOAD_MS,
            policy: context.policy,
        });
        const first = describe(allowed);
        const candidates = pickCandidates(first, () => random.next());
        const ids = candidates.map(view => view.id);
        const hasNews = await adapters.refresh(ids);
        const chosen = chooseModelEngine(
            hasNews
                ? describe(allowed.filter(({ entry }) => ids.includes(entry.id)))
                : { ...first, engines: candidates },
        );
        const known = chosen === undefined ? undefined : byId.get(chosen.id);
        return known === undefined ? undefined : { known, expectedMs: chosen?.expectedMs ?? 0 };
    };
    return {
        list: service =>
            [...knowledge.engines.values()].filter(known => known.isUsable && known.entry.service === service.name),
        choose: async (work, allowed) =>
            work.service.engine === undefined ? choosePlain(allowed) : chooseModel(work, allowed),
    };
}
