import { exploreSpecification } from "./exploreSpecification.js";
import type { OwnershipBounds, OwnershipDefect } from "./ownershipModel.js";
import { ownershipSpecification } from "./ownershipSpecification.js";
import type { CheckedSpecification, Exploration, NamedDefect } from "./specification.js";

/** Each owner receives requests for a different adapter. */
const DIFFERENT_ADAPTERS = { a: ["1"], b: ["2"] } as const;
/** Both owners receive requests for the same adapter. */
const SAME_ADAPTER = { a: ["1"], b: ["1"] } as const;
/** Both owners receive requests for both adapters. */
const ALL_ADAPTERS = { a: ["1", "2"], b: ["1", "2"] } as const;
/** Bounds of every ownership exploration, unless a case or a defect overrides them. */
const BASE_BOUNDS = {
    adapters: ALL_ADAPTERS,
    adapterSlots: 1,
    requests: 1,
    faults: 2,
    waits: 0,
    faultKinds: [],
} as const;

/** Bounds for each defect: small, but large enough for the exploration to find it. */
const DEFECT_BOUNDS: Readonly<Record<OwnershipDefect, Partial<OwnershipBounds>>> = {
    "evict on the report alone": { requests: 2, adapters: { a: ["1", "2"], b: [] } },
    "names without the fence": {
        requests: 2,
        adapters: { a: ["2"], b: ["1"] },
        faultKinds: ["cutOff", "slowOrders"],
    },
    "adopt from a lapsed owner": { adapters: { a: ["2"], b: [] }, faultKinds: ["cutOff", "slowOrders"] },
    "free a silent holder's places": { requests: 2, waits: 1, adapters: { a: ["1", "2"], b: [] } },
    "accept a grant of a lower fence": {
        requests: 2,
        adapters: { a: ["1"], b: ["2"] },
        faultKinds: ["slowGrants"],
        faults: 1,
    },
    "forget the asks under way": {
        requests: 2,
        adapters: { a: ["1", "2"], b: [] },
        faultKinds: ["slowGrants"],
        faults: 1,
    },
    "release before every answer": { adapters: { a: ["2"], b: [] }, faultKinds: ["slowOrders"], faults: 1 },
    "reuse after an unanswered unload": {
        requests: 2,
        adapters: { a: ["1", "2"], b: [] },
        faultKinds: ["slowOrders"],
        faults: 1,
    },
    "evict before the holders answered": {
        requests: 2,
        adapters: { a: ["1"], b: ["2"] },
        faultKinds: ["slowGrants"],
        faults: 1,
    },
    "free another incarnation's places": {
        requests: 2,
        adapters: { a: ["1", "2"], b: [] },
        faultKinds: ["gatewayRestart", "noteReport"],
    },
};

/** Named defects of ownership that the exploration must find. */
export const OWNERSHIP_DEFECTS: readonly NamedDefect[] = (Object.keys(DEFECT_BOUNDS) as OwnershipDefect[]).map(
    defect => ({ name: defect, explore: () => exploreOwnership("ignored", { ...DEFECT_BOUNDS[defect], defect }) }),
);

/** An exploration that the command line runs. */
interface OwnershipCase {
    readonly name: string;
    readonly fencing: OwnershipBounds["fencing"];
    readonly overrides: Partial<OwnershipBounds>;
}

/** Cases to explore; each visits every interleaving within its bounds. */
const CASES: readonly OwnershipCase[] = [
    { name: "paused owner, late orders", fencing: "ignored", overrides: { faultKinds: ["pause", "slowOrders"] } },
    {
        name: "owner cut off, late orders, lost grants",
        fencing: "ignored",
        overrides: { faultKinds: ["cutOff", "slowOrders", "slowGrants"] },
    },
    { name: "engine restart, late orders", fencing: "ignored", overrides: { faultKinds: ["restart", "slowOrders"] } },
    {
        name: "crash, late orders, gateway restart",
        fencing: "ignored",
        overrides: { faultKinds: ["crash", "slowOrders", "gatewayRestart"] },
    },
    { name: "KV down, lagging report", fencing: "ignored", overrides: { faultKinds: ["kvDown", "noteReport"] } },
    {
        name: "lost place end, time passes",
        fencing: "ignored",
        overrides: { faultKinds: ["endLost"], faults: 1, waits: 1, adapters: SAME_ADAPTER },
    },
    {
        name: "owner cut off, time passes",
        fencing: "ignored",
        overrides: { faultKinds: ["cutOff"], faults: 1, waits: 1, adapters: DIFFERENT_ADAPTERS },
    },
    { name: "two requests, release", fencing: "ignored", overrides: { requests: 2 } },
    {
        name: "two adapter places, owner cut off, late orders",
        fencing: "ignored",
        overrides: { adapterSlots: 2, faultKinds: ["cutOff", "slowOrders"], adapters: DIFFERENT_ADAPTERS },
    },
    {
        name: "engine restart, owner cut off",
        fencing: "checked",
        overrides: { faultKinds: ["restart", "cutOff"], adapters: DIFFERENT_ADAPTERS },
    },
    {
        name: "paused owner",
        fencing: "checked",
        overrides: { faultKinds: ["pause"], faults: 1 },
    },
    {
        name: "late orders, release",
        fencing: "checked",
        overrides: { faultKinds: ["slowOrders"], faults: 1, adapters: { a: ["2"], b: [] } },
    },
];

/** Ownership specifications as the command line explores them; the defects belong to the first case. */
export const OWNERSHIP_SPECIFICATIONS: readonly CheckedSpecification[] = CASES.map((
    { name, fencing, overrides },
    at,
) => ({
    name: `ownership: ${name}, fences ${fencing}`,
    explore: () => ({ ...exploreOwnership(fencing, overrides), name: `ownership: ${name}, fences ${fencing}` }),
    defects: at === 0 ? OWNERSHIP_DEFECTS : [],
}));

/**
 * Explores ownership of an engine that either checks fencing tokens or ignores them.
 *
 * @param fencing - Whether the engine checks fencing tokens
 * @param overrides - Bounds that replace those in `BASE_BOUNDS`, and the defect to switch on
 * @returns the result; with a defect, the exploration stops at the first violation
 *
 * @example
 * const { violations } = exploreOwnership("ignored", { faultKinds: ["pause", "slowOrders"] });
 */
export function exploreOwnership(
    fencing: OwnershipBounds["fencing"],
    overrides: Partial<OwnershipBounds>,
): Exploration {
    const specification = ownershipSpecification({ ...BASE_BOUNDS, fencing, ...overrides });
    return exploreSpecification(specification, { stopAtFirst: overrides.defect !== undefined });
}
