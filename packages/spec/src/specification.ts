/** A property that every reachable state must have. */
export interface Invariant<State> {
    readonly name: string;
    /** Returns a description of the violation, or undefined where the property holds. */
    readonly check: (state: State) => string | undefined;
}

/** A state machine with bounded state space; its transitions call the production reducers for every decision. */
export interface Specification<State, Event extends { readonly type: string }> {
    readonly name: string;
    readonly initial: State;
    /** Lists every event that can happen in a state, including faults. */
    readonly listEvents: (state: State) => readonly Event[];
    /** Computes the state after an event. */
    readonly step: (state: State, event: Event) => State;
    readonly invariants: readonly Invariant<State>[];
    /** Maximum number of states to visit; reaching it is reported as a violation. */
    readonly stateLimit: number;
}

/** A defect that can be switched on in a specification; the exploration must find it. */
export interface NamedDefect {
    readonly name: string;
    /** Explores the specification with the defect switched on. */
    readonly explore: () => Exploration;
}

/** A violated invariant. */
export interface Violation {
    readonly invariant: string;
    readonly message: string;
    /** Shortest sequence of events that leads to the violation, each as JSON. */
    readonly trace: readonly string[];
}

/** Result of an exploration. */
export interface Exploration {
    readonly name: string;
    readonly states: number;
    readonly transitions: number;
    /** Greatest distance of a state from the initial state, in events. */
    readonly depth: number;
    /** Number of invariants that were checked. */
    readonly invariants: number;
    readonly violations: readonly Violation[];
}

/** A specification with the defects that its exploration must find, as the command line runs it. */
export interface CheckedSpecification {
    readonly name: string;
    /** Explores the specification without a defect. */
    readonly explore: () => Exploration;
    readonly defects: readonly NamedDefect[];
}
