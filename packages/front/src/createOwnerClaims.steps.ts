import { brandId, createManualClock } from "@fulmarcleat/ids";
import type { EngineId, HostId, Incarnation } from "@fulmarcleat/ids";
import { Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createOwnerClaims } from "./createOwnerClaims.js";
import type { OwnerClaimRecords } from "./createOwnerClaims.js";

const ENGINE = brandId<EngineId>("i-1");
/** Interval between two removals of what is gone, in milliseconds. */
const PRUNE_INTERVAL_MS = 500;

let claims: OwnerClaimRecords;
let clock = createManualClock(0);

function passGone(ms: number): void {
    for (let passedMs = 0; passedMs < ms; passedMs += PRUNE_INTERVAL_MS) {
        clock.advance(PRUNE_INTERVAL_MS);
        claims.prune(() => false, () => false);
    }
}

function putClaim(host: string, state: { readonly isReleased: boolean; readonly hasLostPath: boolean }): void {
    claims.put(ENGINE, {
        host: brandId<HostId>(host),
        incarnation: brandId<Incarnation>("1"),
        revision: clock.nowMs(),
        ...state,
    });
}

function applyChange(change: string): void {
    const words = change.split(" ");
    const host = words.at(-1) ?? "";
    switch (words[0]) {
        case "none":
            return;
        case "removed":
            claims.remove(ENGINE);
            return;
        case "released":
            putClaim(host, { isReleased: true, hasLostPath: false });
            return;
        case "given":
            putClaim(host, { isReleased: false, hasLostPath: true });
            return;
        case "gone":
            passGone(Number(words[2]));
            return;
        default:
            putClaim(host, { isReleased: false, hasLostPath: false });
    }
}

Given("owner keys of an engine that change so: {}", (changes: string) => {
    clock = createManualClock(1000);
    claims = createOwnerClaims(clock);
    const member = { incarnation: brandId<Incarnation>("1"), ip: "10.0.0.1", port: 1, isLeaving: false };
    claims.putMember({ ...member, host: brandId<HostId>("a") });
    changes.split(", ").forEach(applyChange);
});

When("host a is gone for {int} ms", (ms: number) => {
    claims.putMember({
        host: brandId<HostId>("a"),
        incarnation: brandId<Incarnation>("1"),
        ip: "10.0.0.1",
        port: 1,
        isLeaving: false,
    });
    passGone(ms);
});

Then(
    "the engine's current owner is {word}, its last owner without a release {word}",
    (current: string, lapsed: string) => {
        strictEqual(claims.current.get(ENGINE)?.host ?? "none", current);
        strictEqual(claims.lapsed.get(ENGINE)?.host ?? "none", lapsed);
    },
);

Then(
    /^the engine has (never|once) had an owner$/,
    (claimed: string) => strictEqual(claims.hasBeenClaimed(ENGINE), claimed === "once"),
);

Then(
    /^the address of host a is (known|unknown)$/,
    (state: string) => strictEqual(claims.findMember(brandId<HostId>("a")) !== undefined, state === "known"),
);
