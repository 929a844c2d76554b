import type { Specification } from "./specification.js";

/**
 * Wraps a specification so that its exploration ends once an invariant is violated.
 *
 * @param spec - Specification with a defect switched on
 * @returns a specification for one exploration that lists no more events after the first violation
 *
 * @example
 * exploreSpecification(stopAtFirstViolation(configPropagationSpecification({ acceptOlderSnapshot: true })));
 */
export function stopAtFirstViolation<State, Event extends { readonly type: string }>(
    spec: Specification<State, Event>,
): Specification<State, Event> {
    let isViolationFound = false;
    return {
        ...spec,
        listEvents(state) {
            isViolationFound ||= spec.invariants.some(invariant => invariant.check(state) !== undefined);
            return isViolationFound ? [] : spec.listEvents(state);
        },
    };
}
