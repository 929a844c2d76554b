import type { RequestEnd } from "../applyAttempt.js";
import type { ClientRequest } from "../clientRequest.js";
import type { RequestRunner } from "../runRequest.js";
import type { AccountPermit } from "./accountPermit.js";
import type { AccountLimits } from "./createAccountLimits.js";

/** A request that does not fit into its account's rate limit. */
export interface OverLimit {
    readonly kind: "over_limit";
    readonly permit: Extract<AccountPermit, { kind: "refused" }>;
}

/**
 * Runs a request if it fits into its account's rate limit, and returns its cost if it did not run. A request of another
 * host is not charged, since that host has charged it.
 *
 * @param request - The client's request
 * @param limits - Rate limits of the accounts
 * @param run - Sends the request to engines
 * @returns how the request ended
 *
 * @example
 * const end = await runWithinLimit(request, accountLimits, runner.run);
 */
export async function runWithinLimit(
    request: ClientRequest,
    limits: Pick<AccountLimits, "admit">,
    run: RequestRunner["run"],
): Promise<RequestEnd | OverLimit> {
    const { account, head, mark } = request;
    if (account?.limit === undefined || mark !== undefined) {
        return run(request);
    }
    const permit = await limits.admit(account, head.tokens);
    if (permit.kind === "refused") {
        return { kind: "over_limit", permit };
    }
    const end = await run(request);
    if (permit.kind === "granted" && !mayHaveRun(end)) {
        permit.giveBack();
    }
    return end;
}

function mayHaveRun(end: RequestEnd): boolean {
    switch (end.kind) {
        case "relayed":
            return true;
        case "answer":
            return !end.result.head.isNotRun;
        case "gave_up":
            return end.outcome !== "not_run";
    }
}
