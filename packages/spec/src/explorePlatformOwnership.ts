import { exploreSpecification } from "./exploreSpecification.js";
import type { PlatformOwnershipBounds, PlatformOwnershipDefect } from "./platformOwnershipModel.js";
import { platformOwnershipSpecification } from "./platformOwnershipSpecification.js";
import type { CheckedSpecification, Exploration, NamedDefect } from "./specification.js";

const BOUNDS: PlatformOwnershipBounds = {
    places: 1,
    adapters: ["1", "2"],
    lateOrders: 1,
    lapses: 1,
    restarts: 0,
    runs: 1,
    orders: 4,
    checksFences: true,
};
const DEFECTS: readonly PlatformOwnershipDefect[] = [
    "orders without their count",
    "unanswered orders count",
    "no report after a claim",
];
const CASES: readonly { readonly name: string; readonly changed: Partial<PlatformOwnershipBounds> }[] = [
    { name: "lapse, late order, run, fences checked", changed: {} },
    { name: "lapse, late order, run, fences ignored", changed: { checksFences: false } },
    { name: "lapse, two late orders, fences checked", changed: { lateOrders: 2, runs: 0 } },
    { name: "engine restart, late order, fences ignored", changed: { restarts: 1, checksFences: false, runs: 0 } },
    {
        name: "two places, late order, run, fences checked",
        changed: { places: 2, adapters: ["1", "2", "3"], orders: 3 },
    },
];

/** Orders on the platform as the command line explores them; the defects go with the first case. */
export const PLATFORM_OWNERSHIP_SPECIFICATIONS: readonly CheckedSpecification[] = CASES.map(
    ({ name, changed }, at) => ({
        name: `orders on the platform: ${name}`,
        explore: () => ({ ...explorePlatformOwnership(changed), name: `orders on the platform: ${name}` }),
        defects: at === 0
            ? DEFECTS.map((defect): NamedDefect => ({
                name: defect,
                explore: () => explorePlatformOwnership({ defect, checksFences: false, orders: 5, lapses: 2 }),
            }))
            : [],
    }),
);

/**
 * Explores who orders an engine on the platform.
 *
 * @param changed - Other bounds than the usual, or a defect
 * @returns what was found
 *
 * @example
 * const { violations } = explorePlatformOwnership({ checksFences: false });
 */
function explorePlatformOwnership(changed: Partial<PlatformOwnershipBounds>): Exploration {
    const specification = platformOwnershipSpecification({ ...BOUNDS, ...changed });
    return exploreSpecification(specification, { stopAtFirst: changed.defect !== undefined });
}
