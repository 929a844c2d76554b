import { exploreSpecification } from "./exploreSpecification.js";
import type { OwnershipBounds, OwnershipDefect } from "./ownershipModel.js";
import { ownershipSpecification } from "./ownershipSpecification.js";
import type { CheckedSpecification, Exploration, NamedDefect } from "./specification.js";

const CROSSED = { a: ["1"], b: ["2"] } as const;
const ONE = { a: ["1"], b: ["1"] } as const;
const BOTH = { a: ["1", "2"], b: ["1", "2"] } as const;
const BOUNDS = { adapters: BOTH, adapterPlaces: 1, asks: 1, faults: 2, waits: 0, faultKinds: [] } as const;

/** Defects with small bounds in which each shows. */
const DEFECT_BOUNDS: Readonly<Record<OwnershipDefect, Partial<OwnershipBounds>>> = {
    "evict on the report alone": { asks: 2, adapters: { a: ["1", "2"], b: [] } },
    "names without the fence": {
        asks: 2,
        adapters: { a: ["2"], b: ["1"] },
        faultKinds: ["cutOff", "slowOrders"],
    },
    "adopt from a lapsed owner": { adapters: { a: ["2"], b: [] }, faultKinds: ["cutOff", "slowOrders"] },
    "free a silent holder's places": { asks: 2, waits: 1, adapters: { a: ["1", "2"], b: [] } },
    "accept a grant of a lower fence": {
        asks: 2,
        adapters: { a: ["1"], b: ["2"] },
        faultKinds: ["slowGrants"],
        faults: 1,
    },
    "forget the asks under way": { asks: 2, adapters: { a: ["1", "2"], b: [] }, faultKinds: ["slowGrants"], faults: 1 },
    "release before every answer": { adapters: { a: ["2"], b: [] }, faultKinds: ["slowOrders"], faults: 1 },
    "reuse after an unanswered unload": {
        asks: 2,
        adapters: { a: ["1", "2"], b: [] },
        faultKinds: ["slowOrders"],
        faults: 1,
    },
    "evict before the holders answered": {
        asks: 2,
        adapters: { a: ["1"], b: ["2"] },
        faultKinds: ["slowGrants"],
        faults: 1,
    },
    "free another incarnation's places": {
        asks: 2,
        adapters: { a: ["1", "2"], b: [] },
        faultKinds: ["gatewayRestart", "noteReport"],
    },
};

/** The named defects of ownership. */
export const OWNERSHIP_DEFECTS: readonly NamedDefect[] = (Object.keys(DEFECT_BOUNDS) as OwnershipDefect[]).map(
    defect => ({ name: defect, explore: () => exploreOwnership("ignored", { ...DEFECT_BOUNDS[defect], defect }) }),
);

interface OwnershipCase {
    readonly name: string;
    readonly fencing: OwnershipBounds["fencing"];
    readonly changed: Partial<OwnershipBounds>;
}

/** What is explored: each case visits every interleaving within its bounds. */
const CASES: readonly OwnershipCase[] = [
    { name: "paused owner, late orders", fencing: "ignored", changed: { faultKinds: ["pause", "slowOrders"] } },
    {
        name: "owner cut off, late orders, lost grants",
        fencing: "ignored",
        changed: { faultKinds: ["cutOff", "slowOrders", "slowGrants"] },
    },
    { name: "engine restart, late orders", fencing: "ignored", changed: { faultKinds: ["restart", "slowOrders"] } },
    {
        name: "crash, late orders, gateway restart",
        fencing: "ignored",
        changed: { faultKinds: ["crash", "slowOrders", "gatewayRestart"] },
    },
    { name: "KV down, lagging report", fencing: "ignored", changed: { faultKinds: ["kvDown", "noteReport"] } },
    {
        name: "lost place end, time passes",
        fencing: "ignored",
        changed: { faultKinds: ["endLost"], faults: 1, waits: 1, adapters: ONE },
    },
    {
        name: "owner cut off, time passes",
        fencing: "ignored",
        changed: { faultKinds: ["cutOff"], faults: 1, waits: 1, adapters: CROSSED },
    },
    { name: "two requests, release", fencing: "ignored", changed: { asks: 2 } },
    {
        name: "two adapter places, owner cut off, late orders",
        fencing: "ignored",
        changed: { adapterPlaces: 2, faultKinds: ["cutOff", "slowOrders"], adapters: CROSSED },
    },
    {
        name: "engine restart, owner cut off",
        fencing: "checked",
        changed: { faultKinds: ["restart", "cutOff"], adapters: CROSSED },
    },
    {
        name: "paused owner",
        fencing: "checked",
        changed: { faultKinds: ["pause"], faults: 1 },
    },
    {
        name: "late orders, release",
        fencing: "checked",
        changed: { faultKinds: ["slowOrders"], faults: 1, adapters: { a: ["2"], b: [] } },
    },
];

/** Ownership as the command line explores it; the defects go with the first case. */
export const OWNERSHIP_SPECIFICATIONS: readonly CheckedSpecification[] = CASES.map((
    { name, fencing, changed },
    at,
) => ({
    name: `ownership: ${name}, fences ${fencing}`,
    explore: () => ({ ...exploreOwnership(fencing, changed), name: `ownership: ${name}, fences ${fencing}` }),
    defects: at === 0 ? OWNERSHIP_DEFECTS : [],
}));

/**
 * Explores ownership on an engine that checks fences or ignores them.
 *
 * @param fencing - The engine
 * @param changed - Other bounds, or a defect
 * @returns what was found
 *
 * @example
 * const { violations } = exploreOwnership("ignored", { faultKinds: ["pause", "slowOrders"] });
 */
export function exploreOwnership(
    fencing: OwnershipBounds["fencing"],
    changed: Partial<OwnershipBounds>,
): Exploration {
    const specification = ownershipSpecification({ ...BOUNDS, fencing, ...changed });
    return exploreSpecification(specification, { stopAtFirst: changed.defect !== undefined });
}
