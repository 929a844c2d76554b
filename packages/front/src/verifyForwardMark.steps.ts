import { deepStrictEqual, strictEqual, Then, When } from "@fulmarcleat/testing";
import { computeMarkMac } from "./computeMarkMac.js";
import { MARK_HEADER, MARK_MAC_HEADER } from "./forwardMark.js";
import type { ForwardMark } from "./forwardMark.js";
import { signForwardMark } from "./signForwardMark.js";
import { verifyForwardMark } from "./verifyForwardMark.js";

const PEER_KEY = "k".repeat(32);
const SCOPE = { host: "front-2", method: "POST", path: "/a?b=1", requestId: "r1" };

/** What of an arriving request a row of the table changes; an empty text leaves the header out. */
type ArrivalField = "key" | "host" | "method" | "path" | "request" | "mark" | "mac";

let arrival: Record<ArrivalField, string>;
let verified: ForwardMark | undefined;

Then(/^the forward mark (.*) is the same after its way over the wire$/, (text: string) => {
    const mark = JSON.parse(text) as ForwardMark;
    const headers = ["Host", "a.example", "Request-Id", SCOPE.requestId, ...signForwardMark(PEER_KEY, SCOPE, mark)];
    headers.forEach(header => strictEqual(/^[\x20-\x7e]*$/.test(header), true));
    const arrived = verifyForwardMark(PEER_KEY, SCOPE, headers);
    deepStrictEqual(JSON.parse(JSON.stringify(arrived)), mark);
});

When(
    "a forward mark is signed for {string}, method {string}, path {string} and request {string}",
    (host: string, method: string, path: string, requestId: string) => {
        const mark: ForwardMark = JSON.parse(`{"from":"front-1","sends":1,"tried":["i-1"]}`) as ForwardMark;
        const [, markText = "", , mac = ""] = signForwardMark(PEER_KEY, { host, method, path, requestId }, mark);
        arrival = { key: PEER_KEY, host, method, path, request: requestId, mark: markText, mac };
    },
);

When(/^the forward mark arrives (?:unchanged|with the (\w+) "(.*)")$/, (field?: ArrivalField, value?: string) => {
    verified = verifyArrival(field === undefined ? arrival : { ...arrival, [field]: value ?? "" });
});

When(/^the text (.*) ?is signed as a forward mark$/, (text: string) => {
    const mark = Buffer.from(text.trim()).toString("base64url");
    const { requestId: request, ...scope } = SCOPE;
    verified = verifyArrival({ key: PEER_KEY, ...scope, request, mark, mac: computeMarkMac(PEER_KEY, SCOPE, mark) });
});

Then(/^the forward mark is (valid|not valid)$/, (expected: string) => {
    strictEqual(verified === undefined ? "not valid" : "valid", expected);
});

function verifyArrival({ key, host, method, path, request, mark, mac }: Record<ArrivalField, string>) {
    const fields = [["request-id", request], [MARK_HEADER, mark], [MARK_MAC_HEADER, mac]] as const;
    return verifyForwardMark(key, { host, method, path }, fields.filter(([, value]) => value !== "").flat());
}
