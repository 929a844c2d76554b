import { exploreSpecification } from "./exploreSpecification.js";
import type { PlatformOwnershipBounds, PlatformOwnershipDefect } from "./platformOwnershipModel.js";
import { platformOwnershipSpecification } from "./platformOwnershipSpecification.js";
import type { CheckedSpecification, Exploration, NamedDefect } from "./specification.js";

/** Bounds of every platform exploration, unless a case or a defect overrides them. */
const BASE_BOUNDS: PlatformOwnershipBounds = {
    adapterSlots: 1,
    adapters: ["1", "2"],
    delayedOrders: 1,
    lapses: 1,
    restarts: 0,
    restores: 0,
    runs: 1,
    orders: 4,
    checksFences: true,
};
const DEFECTS: readonly PlatformOwnershipDefect[] = [
    "orders without their count",
    "unanswered orders count",
    "no report after a claim",
    "revisions without their epoch",
];
const CASES: readonly { readonly name: string; readonly overrides: Partial<PlatformOwnershipBounds> }[] = [
    { name: "lapse, late order, run, fences checked", overrides: {} },
    { name: "lapse, late order, run, fences ignored", overrides: { checksFences: false } },
    { name: "lapse, two late orders, fences checked", overrides: { delayedOrders: 2, runs: 0 } },
    { name: "engine restart, late order, fences ignored", overrides: { restarts: 1, checksFences: false, runs: 0 } },
    { name: "return from a copy, lapse, late order, fences checked", overrides: { restores: 1, orders: 2, runs: 0 } },
    {
        name: "two returns from copies, late order, fences ignored",
        overrides: { restores: 2, orders: 2, runs: 0, lapses: 0, checksFences: false },
    },
    {
        name: "two places, late order, run, fences checked",
        overrides: { adapterSlots: 2, adapters: ["1", "2", "3"], orders: 3 },
    },
];

/** Specifications of engine orders on the platform, as explored by the command line; the first has the defects. */
export const PLATFORM_OWNERSHIP_SPECIFICATIONS: readonly CheckedSpecification[] = CASES.map(
    ({ name, overrides }, at) => ({
        name: `orders on the platform: ${name}`,
        explore: () => ({ ...explorePlatformOwnership(overrides), name: `orders on the platform: ${name}` }),
        defects: at === 0
            ? DEFECTS.map((defect): NamedDefect => ({
                name: defect,
                explore: () =>
                    explorePlatformOwnership({ defect, checksFences: false, orders: 5, lapses: 2, restores: 1 }),
            }))
            : [],
    }),
);

/**
 * Explores engine orders on the platform.
 *
 * @param overrides - Bounds that replace those in `BASE_BOUNDS`, and the defect to switch on
 * @returns the result; with a defect, the exploration stops at the first violation
 *
 * @example
 * const { violations } = explorePlatformOwnership({ checksFences: false });
 */
function explorePlatformOwnership(overrides: Partial<PlatformOwnershipBounds>): Exploration {
    const specification = platformOwnershipSpecification({ ...BASE_BOUNDS, ...overrides });
    return exploreSpecification(specification, { stopAtFirst: overrides.defect !== undefined });
}
