import { exploreSpecification } from "./exploreSpecification.js";
import type { OrderRightBounds, OrderRightDefect } from "./orderRightModel.js";
import { orderRightSpecification } from "./orderRightSpecification.js";
import type { CheckedSpecification, Exploration, NamedDefect } from "./specification.js";

/** Bounds of every exploration, unless a case or a defect overrides them. */
const BASE_BOUNDS: OrderRightBounds = {
    hosts: ["a", "b"],
    claims: 2,
    cuts: 1,
    suspended: 0,
    clockRates: { a: 1, b: 1, c: 1 },
};
const DEFECTS: readonly { readonly defect: OrderRightDefect; readonly overrides: Partial<OrderRightBounds> }[] = [
    { defect: "a right without an end", overrides: {} },
    { defect: "a right by the monotonic clock alone", overrides: { suspended: 1, cuts: 0 } },
    { defect: "no wait for a silent owner", overrides: {} },
    { defect: "stopped owners go on", overrides: {} },
    { defect: "the owner before the last is forgotten", overrides: { claims: 3 } },
    { defect: "the last owner's wait is forgotten", overrides: { claims: 3 } },
];
const CASES: readonly { readonly name: string; readonly overrides: Partial<OrderRightBounds> }[] = [
    { name: "one cut at a time", overrides: {} },
    { name: "two cuts at a time", overrides: { cuts: 2 } },
    { name: "the owner's clock is slow", overrides: { clockRates: { a: 0.995, b: 1, c: 1 } } },
    { name: "a suspended host", overrides: { suspended: 1, cuts: 0 } },
    { name: "three claims", overrides: { claims: 3 } },
];

/** Specifications of the right to order engines that check no fences; the first has the defects. */
export const ORDER_RIGHT_SPECIFICATIONS: readonly CheckedSpecification[] = CASES.map(({ name, overrides }, at) => ({
    name: `right to order: ${name}`,
    explore: () => ({ ...exploreOrderRight(overrides), name: `right to order: ${name}` }),
    defects: at === 0
        ? DEFECTS.map(({ defect, overrides: defectBounds }): NamedDefect => ({
            name: defect,
            explore: () => exploreOrderRight({ ...defectBounds, defect }),
        }))
        : [],
}));

/**
 * Explores the right to order engines that check no fences.
 *
 * @param overrides - Bounds that replace those in `BASE_BOUNDS`, and the defect to switch on
 * @returns the result; with a defect, the exploration stops at the first violation
 *
 * @example
 * const { violations } = exploreOrderRight({ cuts: 1 });
 */
function exploreOrderRight(overrides: Partial<OrderRightBounds>): Exploration {
    const specification = orderRightSpecification({ ...BASE_BOUNDS, ...overrides });
    return exploreSpecification(specification, { stopAtFirst: overrides.defect !== undefined });
}
