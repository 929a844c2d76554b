import { createMetrics } from "@fulmarcleat/events";
import { brandId } from "@fulmarcleat/ids";
import { strictEqual, Then } from "@fulmarcleat/testing";
import { createAccountRecords } from "./createAccountRecords.js";

Then(
    "of {int} accounts that are refused twice each, {int} are counted by name and {int} refusals as others",
    (accounts: number, named: number, others: number) => {
        const metrics = createMetrics();
        const records = createAccountRecords(metrics);
        const reason = "limited";
        for (let turn = 0; turn < 2; turn += 1) {
            for (let at = 0; at < accounts; at += 1) {
                const request = {};
                records.set(request, brandId(`a${at}`));
                records.countRefusal(request, reason);
            }
        }
        const read = (account: string): number => metrics.read("account_refusals_total", { account, reason });
        strictEqual([...Array(accounts).keys()].filter(at => read(`a${at}`) === 2).length, named);
        strictEqual(read("(other)"), others);
    },
);

Then("a request whose account is set and removed has none, and its refusal isn't counted", async () => {
    const metrics = createMetrics();
    const records = createAccountRecords(metrics);
    const request = {};
    records.set(request, brandId("a"));
    strictEqual(records.find(request), "a");
    records.set(request, undefined);
    strictEqual(records.find(request), undefined);
    records.countRefusal(request, "limited");
    strictEqual((await metrics.expose()).includes("account_refusals"), false);
});
