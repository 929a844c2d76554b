import type { Exploration } from "./specification.js";

/**
 * Formats an exploration as one line of counts, followed by each violation with its trace.
 *
 * @param exploration - Result of `exploreSpecification`
 * @returns the lines
 *
 * @example
 * formatExploration(exploration).forEach(line => console.log(line));
 */
export function formatExploration(exploration: Exploration): readonly string[] {
    const { name, states, transitions, depth, invariants, violations } = exploration;
    const counts =
        `${states} states, ${transitions} transitions, depth ${depth}, ${invariants} invariants, ${violations.length} violations`;
    const details = violations.flatMap(violation => [
        `  ${violation.invariant}: ${violation.message}`,
        ...violation.trace.map((label, at) => `    ${at + 1}. ${label}`),
    ]);
    return [`${name}: ${counts}`, ...details];
}
