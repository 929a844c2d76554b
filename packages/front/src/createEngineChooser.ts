import type { KnownEngine, Service } from "@fulmarcleat/directory";
import { chooseModelEngine, choosePlainEngine, chooseUnresponsiveLimit, pickCandidates } from "@fulmarcleat/dispatch";
import type { GenerationWork, ModelEngineOptions, ModelEngineView } from "@fulmarcleat/dispatch";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import type { EngineId } from "@fulmarcleat/ids";
import type { ClientRequest } from "./clientRequest.js";
import type { EngineClosures } from "./createEngineClosures.js";
import type { EngineLoadTracker } from "./createEngineLoadTracker.js";
import type { FrontContext } from "./frontContext.js";
import type { AdapterTracker, RequestedAdapter } from "./startAdapterTracker.js";

/** The engine chosen for a request. */
export interface ChosenEngine {
    readonly known: KnownEngine;
    /** Expected time to the first byte, in milliseconds; 0 for services without a model. */
    readonly expectedMs: number;
}

/** Chooses engines for requests. */
export interface EngineChooser {
    /** Lists the engines of a service that may get work. */
    list(service: Service): readonly KnownEngine[];
    /** Chooses one of the allowed engines; undefined if none is suitable. */
    choose(request: ClientRequest, allowed: readonly KnownEngine[]): Promise<ChosenEngine | undefined>;
}

/** Typical time to load an adapter, in milliseconds; the deployments state 250 to 288. */
const TYPICAL_LOAD_MS = 260;
/**
 * Age above which the report of an engine whose speed is known is renewed before a choice, in milliseconds; an engine
 * that shares its machine gets several prompts in a second, each of which takes some hundred milliseconds.
 */
const PACED_REPORT_AGE_MS = 200;
/** Wait for an adapter slot from which further engines are looked at, in milliseconds. */
const LONG_PLACE_WAIT_MS = 100;
/** Part of a prompt's shared tokens that its home among the engines is expected to have kept. */
const KEPT_PART = 0.6;
/** Longest pause between two events that is assumed for routes that state none, in milliseconds. */
const USUAL_PAUSE_GOAL_MS = 400;

/**
 * Creates a chooser that uses this host's own measurements and the owners' reports.
 *
 * @param context - Clock, hash, random numbers and policy
 * @param closures - Lists the engines that may get work
 * @param loadTracker - Load and health of engines as this host observes them
 * @param adapters - Adapters on engines as their owners report them
 * @returns the chooser
 *
 * @example
 * const chosen = await createEngineChooser(context, closures, loadTracker, adapters).choose(request, allowed);
 */
export function createEngineChooser(
    context: FrontContext,
    closures: Pick<EngineClosures, "listOpen">,
    loadTracker: EngineLoadTracker,
    adapters: AdapterTracker,
): EngineChooser {
    const { clock, hash, random } = context;
    const choosePlain = (allowed: readonly KnownEngine[]): ChosenEngine | undefined => {
        const engines = allowed.map(known => loadTracker.describeEngine(known, chooseUnresponsiveLimit(false)));
        const { domain } = context.deployment;
        const view = choosePlainEngine({ engines, ownDomain: domain, atMs: clock.nowMs(), draw: random.next() });
        const known = allowed.find(({ entry }) => entry.id === view?.id);
        return known === undefined ? undefined : { known, expectedMs: 0 };
    };
    const viewModelEngine = (known: KnownEngine, requestedAdapter: RequestedAdapter | undefined): ModelEngineView => {
        const view = loadTracker.describeEngine(known, chooseUnresponsiveLimit(true));
        const load = Math.max(view.load, adapters.countLoad(known.entry.id) ?? 0);
        const queuedTokens = Math.max(view.queuedTokens, adapters.countQueuedTokens(known.entry.id) ?? 0);
        return { ...view, load, queuedTokens, presence: adapters.find(known.entry, requestedAdapter) };
    };
    /**
     * Finds the engine that all hosts send prompts with the same shared parts to, among those with the adapter: engines
     * keep what they have read of a prompt for the same adapter only.
     */
    const findHome = (
        { head: { sharedParts }, requestedAdapter }: ClientRequest,
        views: readonly ModelEngineView[],
    ): EngineId | undefined => {
        const holders = views.filter(({ presence }) => presence.kind !== "absent").map(({ id }) => id);
        const key = `${requestedAdapter?.adapter ?? ""} ${sharedParts?.join(" ") ?? ""}`;
        return sharedParts === undefined ? undefined : rankByRendezvous(hash, key, holders)[0];
    };
    /** Adds the work of a request to the views of engines whose speed is known. */
    const addWork = (request: ClientRequest, views: readonly ModelEngineView[]): readonly ModelEngineView[] => {
        const { head: { sharedTokens = 0, tokens }, route, service: { engine: spec } } = request;
        if (spec?.eventTokens === undefined || views.every(({ pace }) => pace === undefined)) {
            return views;
        }
        const home = findHome(request, views);
        const { eventTokens } = spec;
        const promptTokens = tokens?.prompt ?? 0;
        const ownTokens = promptTokens + (tokens?.maxOutput ?? 0);
        const countHeldTokens = (id: EngineId): number =>
            Math.max(loadTracker.countHeldTokens(id), adapters.countHeldTokens(id) ?? 0);
        const createWork = (id: EngineId): GenerationWork => ({
            promptTokens: promptTokens - (id === home ? sharedTokens * KEPT_PART : 0),
            eventTokens,
            outputTokens: tokens?.maxOutput ?? 0,
            promptTokensPerS: adapters.readPromptRate(id) ?? 0,
            maxPauseMs: route.pauseGoalMs ?? USUAL_PAUSE_GOAL_MS,
            memoryPart: spec.memoryTokens === undefined ? 0 : (countHeldTokens(id) + ownTokens) / spec.memoryTokens,
        });
        return views.map(view => view.pace === undefined ? view : { ...view, work: createWork(view.id) });
    };
    const chooseModel = async (
        request: ClientRequest,
        allowed: readonly KnownEngine[],
    ): Promise<ChosenEngine | undefined> => {
        const { requestId, requestedAdapter } = request;
        const byId = new Map(allowed.map(known => [known.entry.id, known]));
        const order = rankByRendezvous(hash, requestedAdapter?.adapter ?? requestId, [...byId.keys()]);
        const describe = (engines: readonly KnownEngine[]): ModelEngineOptions => ({
            engines: addWork(request, engines.map(known => viewModelEngine(known, requestedAdapter))),
            order,
            atMs: clock.nowMs(),
            loadMs: TYPICAL_LOAD_MS,
            policy: context.policy,
        });
        const first = describe(allowed);
        const candidates = pickCandidates(first, () => random.next());
        const isPaced = candidates.some(({ pace }) => pace !== undefined);
        /** Refreshes what is known of candidates, and returns them as they are then. */
        const refresh = async (views: readonly ModelEngineView[]): Promise<readonly ModelEngineView[]> => {
            const ids = views.map(view => view.id);
            return await adapters.refresh(ids, isPaced ? PACED_REPORT_AGE_MS : undefined)
                ? describe(allowed.filter(({ entry }) => ids.includes(entry.id))).engines
                : views;
        };
        let engines = await refresh(candidates);
        if (isPaced && engines.every(isFull)) {
            const others = first.engines.filter(view => !candidates.includes(view));
            engines = [
                ...engines,
                ...await refresh(pickCandidates({ ...first, engines: others }, () => random.next())),
            ];
        }
        const chosen = chooseModelEngine({ ...first, engines });
        const known = chosen === undefined ? undefined : byId.get(chosen.id);
        return known === undefined ? undefined : { known, expectedMs: chosen?.expectedMs ?? 0 };
    };
    return {
        list: service => closures.listOpen(service.name),
        choose: async (request, allowed) =>
            request.service.engine === undefined ? choosePlain(allowed) : chooseModel(request, allowed),
    };
}

/** Whether a request would wait at an engine until one of its adapter slots is free. */
function isFull({ presence }: ModelEngineView): boolean {
    return presence.kind === "absent" && presence.placeWaitMs >= LONG_PLACE_WAIT_MS;
}
