import type { OriginRule, VersionWeight, WeightedService } from "./originRule.js";

/** How long former rules are kept, in milliseconds. */
export interface RuleAges {
    /** Time since the rules last changed. */
    readonly ageMs: number;
    /** Time after which streams of former rules can't be resumed any more, and all hosts know the newest rule. */
    readonly formerMs: number;
    /** The same for streams that began before there was a rule. */
    readonly unknownMs: number;
}

/** Most rules that are kept; older ones are replaced by one that says that nothing is known. */
const MAX_RULES = 16;
/** Factor by which a version's share may differ from its engines' share before the rule is replaced. */
const SHARE_FACTOR = 2;
const UNKNOWN: OriginRule = { kind: "unknown" };

/**
 * Brings a route's rules up to date. A former rule stays until no stream that began by it can be resumed, so that two
 * successive lists always share one.
 *
 * @param rules - Rules on record, the newest first; undefined if there are none
 * @param current - Rule that fits the route and its engines now
 * @param ages - Age of the rules on record, and how long former ones are kept
 * @returns the rules to record, the newest first; undefined if those on record stay
 *
 * @example
 * updateOriginRules(undefined, rule, { ageMs: 0, formerMs: 60_000, unknownMs: 30_000 }); // [rule, { kind: "unknown" }]
 */
export function updateOriginRules(
    rules: readonly OriginRule[] | undefined,
    current: OriginRule,
    { ageMs, formerMs, unknownMs }: RuleAges,
): readonly OriginRule[] | undefined {
    if (rules === undefined) {
        return [current, UNKNOWN];
    }
    const [newest, ...former] = rules;
    if (newest !== undefined && isClose(newest, current)) {
        const keepMs = former.every(({ kind }) => kind === "unknown") ? unknownMs : formerMs;
        return former.length > 0 && ageMs >= keepMs ? [newest] : undefined;
    }
    // A rule that fits again is moved, so that versions that come and go don't make the list longer.
    const fitting = former.find(rule => isClose(rule, current)) ?? current;
    const next = [fitting, ...rules.filter(rule => rule !== fitting)];
    return next.length <= MAX_RULES ? next : [...next.slice(0, MAX_RULES - 1), UNKNOWN];
}

/** Whether two rules have the same services and versions, and about the same shares of versions. */
function isClose(a: OriginRule, b: OriginRule): boolean {
    return a.kind === "weighted" && b.kind === "weighted"
        ? a.services.length === b.services.length
            && a.services.every((service, at) => isCloseService(service, b.services[at]))
        : a.kind === b.kind;
}

function isCloseService(a: WeightedService, b: WeightedService | undefined): boolean {
    return a.service === b?.service && a.weight === b.weight && a.versions.length === b.versions.length
        && a.versions.every(version => {
            const other = b.versions.find(({ softwareVersion }) => softwareVersion === version.softwareVersion);
            const ratio = other === undefined ? 0 : readShare(other, b.versions) / readShare(version, a.versions);
            return ratio >= 1 / SHARE_FACTOR && ratio <= SHARE_FACTOR;
        });
}

function readShare({ weight }: VersionWeight, versions: readonly VersionWeight[]): number {
    return weight / versions.reduce((sum, version) => sum + version.weight, 0);
}
