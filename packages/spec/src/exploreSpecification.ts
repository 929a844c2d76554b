import { fromTransition } from "xstate";
import { getAdjacencyMap } from "xstate/graph";
import type { Exploration, Specification, Violation } from "./specification.js";

/** Options of `exploreSpecification`. */
export interface ExplorationOptions {
    /** Stops the exploration at the first violation, which is sufficient to find a defect. */
    readonly stopAtFirst?: boolean;
}

/** A state with its outgoing transitions. */
interface VisitedState<State> {
    readonly state: State;
    readonly targets: readonly { readonly label: string; readonly key: string }[];
}

/** The part of a transition in the adjacency map of xstate that is read here. */
interface GraphEdge<State, Event> {
    readonly event: Event;
    readonly state: { readonly context: State };
}

/** The step in which the breadth-first search first reached a state. */
interface Visit {
    /** Distance from the initial state, in events. */
    readonly depth: number;
    /** Key of the preceding state; undefined for the initial state. */
    readonly previousKey: string | undefined;
    /** JSON of the event that led to the state. */
    readonly label: string;
}

/**
 * Visits every state that a specification can reach and checks its invariants in each.
 *
 * @param spec - Specification to explore; states with equal JSON count as one state
 * @param options - Whether to stop at the first violation
 * @returns the counts, and the first violation of each invariant with its shortest trace
 *
 * @example
 * const { violations } = exploreSpecification(idempotencySpecification(bounds));
 */
export function exploreSpecification<State extends object, Event extends { readonly type: string }>(
    spec: Specification<State, Event>,
    options: ExplorationOptions = {},
): Exploration {
    const graph = buildStateGraph(spec, options);
    const visits = searchBreadthFirst(graph, JSON.stringify(spec.initial));
    const violations: Violation[] = [];
    let transitions = 0;
    let depth = 0;
    for (const [key, visit] of visits) {
        const visited = graph.get(key);
        if (visited === undefined) {
            continue;
        }
        transitions += visited.targets.length;
        depth = Math.max(depth, visit.depth);
        for (const invariant of spec.invariants) {
            const message = invariant.check(visited.state);
            if (message !== undefined && !violations.some(found => found.invariant === invariant.name)) {
                violations.push({ invariant: invariant.name, message, trace: buildTrace(visits, key) });
            }
        }
    }
    if (graph.size >= spec.stateLimit) {
        violations.push({ invariant: "bounded", message: `more than ${spec.stateLimit} states`, trace: [] });
    }
    return { name: spec.name, states: visits.size, transitions, depth, invariants: spec.invariants.length, violations };
}

function buildStateGraph<State extends object, Event extends { readonly type: string }>(
    spec: Specification<State, Event>,
    { stopAtFirst = false }: ExplorationOptions,
): ReadonlyMap<string, VisitedState<State>> {
    let isViolationFound = false;
    const listEvents = (state: State): readonly Event[] => {
        isViolationFound ||= stopAtFirst && spec.invariants.some(invariant => invariant.check(state) !== undefined);
        return isViolationFound ? [] : spec.listEvents(state);
    };
    const logic = fromTransition((state: State, event: Event) => spec.step(state, event), spec.initial);
    const keys = new WeakMap<State, string>();
    const keyOf = (state: State): string => {
        const key = keys.get(state) ?? JSON.stringify(state);
        keys.set(state, key);
        return key;
    };
    const adjacency = getAdjacencyMap(logic, {
        events: snapshot => [...listEvents(snapshot.context)],
        serializeState: snapshot => keyOf(snapshot.context) as never,
        serializeEvent: event => JSON.stringify(event) as never,
        limit: spec.stateLimit,
    });
    const graph = new Map<string, VisitedState<State>>();
    for (const [key, entry] of Object.entries(adjacency)) {
        const targets = Object.values(entry.transitions as Record<string, GraphEdge<State, Event>>).map(target => ({
            label: JSON.stringify(target.event),
            key: keyOf(target.state.context),
        }));
        graph.set(key, { state: entry.state.context, targets });
    }
    return graph;
}

function searchBreadthFirst<State>(
    graph: ReadonlyMap<string, VisitedState<State>>,
    start: string,
): ReadonlyMap<string, Visit> {
    const visits = new Map<string, Visit>([[start, { depth: 0, previousKey: undefined, label: "" }]]);
    let frontier: readonly string[] = [start];
    while (frontier.length > 0) {
        const next: string[] = [];
        for (const key of frontier) {
            const depth = (visits.get(key)?.depth ?? 0) + 1;
            for (const target of graph.get(key)?.targets ?? []) {
                if (!visits.has(target.key)) {
                    visits.set(target.key, { depth, previousKey: key, label: target.label });
                    next.push(target.key);
                }
            }
        }
        frontier = next;
    }
    return visits;
}

function buildTrace(visits: ReadonlyMap<string, Visit>, key: string): readonly string[] {
    const trace: string[] = [];
    for (let visit = visits.get(key); visit?.previousKey !== undefined; visit = visits.get(visit.previousKey)) {
        trace.unshift(visit.label);
    }
    return trace;
}
