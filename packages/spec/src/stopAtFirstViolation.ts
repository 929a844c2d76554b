import type { Specification } from "./specification.js";

/**
 * Gives a specification that is explored no further once an invariant is broken.
 *
 * @param spec - A specification with a defect switched on
 * @returns the same specification, with no events after the first violation
 *
 * @example
 * exploreSpecification(stopAtFirstViolation(configSpreadSpecification({ acceptOlder: true })));
 */
export function stopAtFirstViolation<State, Event extends { readonly type: string }>(
    spec: Specification<State, Event>,
): Specification<State, Event> {
    let isFound = false;
    return {
        ...spec,
        listEvents(state) {
            isFound ||= spec.invariants.some(invariant => invariant.check(state) !== undefined);
            return isFound ? [] : spec.listEvents(state);
        },
    };
}
