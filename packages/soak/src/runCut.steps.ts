import { deepStrictEqual, ok, Then, When } from "@fulmarcleat/testing";
import type { World } from "@fulmarcleat/testing";
import type { CutMode } from "./createEnginePaths.js";
import { runCut } from "./runCut.js";
import type { CutReport, HostCount } from "./runCut.js";

const STEP_TIMEOUT_MS = 60_000;
const SEED = 1;
/** Share of the other hosts' rate that cut hosts serve at least. */
const MIN_SHARE = 2 / 3;
/** Number of first tries that may fail at the cut hosts, beside a share of them, whatever the other hosts serve. */
const FAILURE_ALLOWANCE = 10;
const FAILURE_SHARE = 1 / 50;
/** Share of first tries that the other hosts serve at least; below it there is nothing to compare with. */
const MIN_OTHERS_SHARE = 0.5;

let report: CutReport;

When(
    /^(half|a failure domain) of (\d+) hosts in (\d+) failure domains are cut from all engines for (\d+) s, and channels "(hang|unreachable|reset|refuse_new)"$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: World, which: string, hosts: string, domains: string, seconds: string, mode: CutMode) {
        const all = Array.from({ length: Number(hosts) }, (value, index) => index);
        report = await runCut({
            seed: SEED,
            hosts: all.length,
            domains: Number(domains),
            modelEngines: 4,
            plainEngines: 2,
            softwareVersions: 1,
            cutHosts: all.filter(index => which === "half" ? index < all.length / 2 : index % Number(domains) === 0),
            mode,
            lengthMs: Number(seconds) * 1000,
        });
        this.log(formatCounts(report.counts));
    },
);

Then("the cut hosts serve at least two thirds as many first tries as the others, or fail few", () => {
    const cut = addUp(report.counts.filter(count => count.isCut));
    const others = addUp(report.counts.filter(count => !count.isCut));
    const text = formatCounts(report.counts);
    ok(others.served >= MIN_OTHERS_SHARE * others.sent, `the other hosts served too few: ${text}`);
    const areFewFailed = cut.sent - cut.served <= FAILURE_ALLOWANCE + FAILURE_SHARE * cut.sent;
    ok(cut.sent > 0 && (areFewFailed || cut.served / cut.sent >= MIN_SHARE * others.served / others.sent), text);
});

Then("no answer or run violates a guarantee", () => {
    deepStrictEqual(report.violations, []);
});

function addUp(counts: readonly HostCount[]): { readonly sent: number; readonly served: number } {
    return {
        sent: counts.reduce((sum, count) => sum + count.sent, 0),
        served: counts.reduce((sum, count) => sum + count.served, 0),
    };
}

function formatCounts(counts: readonly HostCount[]): string {
    return counts.map(({ host, isCut, sent, served }) => `${host}${isCut ? " (cut)" : ""} ${served} of ${sent}`).join(
        ", ",
    );
}
