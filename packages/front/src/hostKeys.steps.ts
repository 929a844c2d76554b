import { brandId } from "@fulmarcleat/ids";
import type { EngineId, HostId, ServiceName, SoftwareVersion, Suspect } from "@fulmarcleat/ids";
import { isCarriable } from "@fulmarcleat/platform";
import { deepStrictEqual, fc, ok, strictEqual, Then } from "@fulmarcleat/testing";
import { validateHeaderValue } from "node:http";
import {
    formatMemberKey,
    formatOriginRuleKey,
    formatOwnerKey,
    formatQuarantineKey,
    formatVersionKey,
    parseHostKey,
    parseLoadRequests,
    parseMember,
    parseOwner,
    SYSTEM_PREFIX,
} from "./hostKeys.js";

const SEED = 49;
const KINDS = ["member", "owner", "want", "quarantine", "version", "other"] as const;

/** Text with unpaired surrogates, control characters and broken percent-encodings among the rest. */
const oddText = fc.oneof(
    fc.constantFrom(
        "\ud83d",
        "host-\ud83d",
        "\udc00x",
        "a\u0000b",
        "a\r\nb",
        "",
        "%",
        "%zz",
        "a/%ff",
        "x".repeat(5000),
    ),
    fc.string({ unit: "binary", maxLength: 12 }),
    fc.string({ unit: fc.integer({ min: 0, max: 0xffff }).map(unit => String.fromCharCode(unit)), maxLength: 12 }),
    fc.string({ maxLength: 12 }),
);
const oddNumber = fc.oneof(fc.constantFrom(0, -1, 1.5, 65_536, 1e300), fc.integer({ min: 1, max: 65_535 }));
/** Names as hosts, engines and services have them. */
const carriableText = fc.string({ unit: "grapheme", minLength: 1, maxLength: 12 }).filter(isCarriable);

Then(
    "of {int} odd keys and values of the system, whatever is decoded fits into keys, headers and paths",
    (numRuns: number) => {
        const check = (kind: typeof KINDS[number], name: string, text: string, other: string, number: number): void => {
            const key = parseHostKey(`${SYSTEM_PREFIX}${kind}/${name}`);
            listKeyTexts(key).forEach(checkText);
            const value = Buffer.from(JSON.stringify({
                host: text,
                incarnation: other,
                ip: "10.0.0.1",
                port: number,
                domain: text,
                forwardPort: number,
                canBeFollowed: true,
                linkMbps: number,
                isLeaving: false,
                isReleased: false,
                formerHosts: [text, other],
                asks: [{ engine: text, model: other, adapter: name, dueInMs: number, waitMs: number, isMissing: true }],
            }));
            const member = parseMember(brandId<HostId>("host-1"), value);
            if (member !== undefined) {
                [member.incarnation, member.domain ?? ""].forEach(checkText);
                ok(Number.isInteger(member.port) && member.port > 0 && member.port < 65_536);
                ok((member.linkMbps ?? 1) > 0);
            }
            const owner = parseOwner(value);
            [owner?.host, owner?.incarnation, ...owner?.formerHosts ?? []].forEach(each => checkText(each ?? ""));
            parseLoadRequests(value).flatMap(({ engine, model, adapter }) => [engine, model, adapter]).forEach(
                checkText,
            );
        };
        const kinds = fc.constantFrom(...KINDS);
        fc.assert(fc.property(kinds, oddText, oddText, oddText, oddNumber, check), { numRuns, seed: SEED });
    },
);

Then("of {int} names that keys can carry, each formatted key is decoded to its name again", (numRuns: number) => {
    const check = (name: string, other: string): void => {
        const host = brandId<HostId>(name);
        const engine = brandId<EngineId>(name);
        const suspect = brandId<Suspect>(name);
        const version = { service: brandId<ServiceName>(name), softwareVersion: brandId<SoftwareVersion>(other) };
        deepStrictEqual(parseHostKey(formatMemberKey(host)), { kind: "member", host });
        deepStrictEqual(parseHostKey(formatOwnerKey(engine)), { kind: "owner", engine });
        deepStrictEqual(parseHostKey(formatQuarantineKey(suspect)), { kind: "quarantine", suspect });
        deepStrictEqual(parseHostKey(formatVersionKey(version)), { kind: "version", version });
        deepStrictEqual(parseHostKey(formatOriginRuleKey(name)), { kind: "origin_rules", route: name });
    };
    fc.assert(fc.property(carriableText, carriableText, check), { numRuns, seed: SEED });
});

function listKeyTexts(key: ReturnType<typeof parseHostKey>): readonly string[] {
    switch (key.kind) {
        case "member":
            return [key.host];
        case "owner":
            return [key.engine];
        case "quarantine":
            return [key.suspect];
        case "version":
            return [key.version.service, key.version.softwareVersion ?? ""];
        case "origin_rules":
            return [key.route];
        case "wants":
            return [key.host];
        case "other":
            return [];
    }
}

function checkText(text: string): void {
    validateHeaderValue("x-name", encodeURIComponent(text));
    strictEqual(Buffer.from(text).toString(), text);
    strictEqual(/[\0\r\n]/.test(text), false);
}
