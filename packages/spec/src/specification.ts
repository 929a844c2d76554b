/** A property of every reachable state; returns what is wrong, or undefined. */
export interface Invariant<State> {
    readonly name: string;
    readonly check: (state: State) => string | undefined;
}

/** A small specification whose decisions are the production reducers. */
export interface Specification<State, Event extends { readonly type: string }> {
    readonly name: string;
    readonly initial: State;
    /** Every event that can happen in a state, faults among them. */
    readonly listEvents: (state: State) => readonly Event[];
    readonly step: (state: State, event: Event) => State;
    readonly invariants: readonly Invariant<State>[];
    /** Most states to visit; reaching it counts as a violation. */
    readonly limit: number;
}

/** A defect that can be switched on; the exploration must find it. */
export interface NamedDefect {
    readonly name: string;
    /** What the exploration finds with the defect switched on. */
    readonly explore: () => Exploration;
}

/** A broken invariant with the shortest way to it. */
export interface Violation {
    readonly invariant: string;
    readonly message: string;
    readonly trace: readonly string[];
}

/** What an exploration found. */
export interface Exploration {
    readonly name: string;
    readonly states: number;
    readonly transitions: number;
    /** Length of the longest shortest trace. */
    readonly depth: number;
    readonly invariants: number;
    readonly violations: readonly Violation[];
}

/** A specification with its defects, as the command line runs it. */
export interface CheckedSpecification {
    readonly name: string;
    readonly explore: () => Exploration;
    readonly defects: readonly NamedDefect[];
}
