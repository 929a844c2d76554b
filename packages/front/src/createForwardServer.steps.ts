import { brandId } from "@fulmarcleat/ids";
import type { HostId } from "@fulmarcleat/ids";
import { After, deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { once } from "node:events";
import { Agent, request } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { computeMarkMac } from "./computeMarkMac.js";
import { MARK_HEADER, MARK_MAC_HEADER } from "./forwardMark.js";
import type { ForwardMark, ForwardScope } from "./forwardMark.js";
import { signForwardMark } from "./signForwardMark.js";
import { HELPER, LOCAL, PEER_KEY, startForwardHelper } from "./startForwardHelper.steps.js";
import type { ForwardHelper } from "./startForwardHelper.steps.js";

const SCOPE: ForwardScope = { host: HELPER, method: "POST", path: "/a?b=1", requestId: "r1" };
const MARK: ForwardMark = { from: brandId<HostId>("front-1"), sends: 0, tried: [], origin: undefined };
const NO_MARK_TEXT = "bm8gSlNPTg";
/** Headers of a client's request. */
const CLIENT_HEADERS = ["Host", "a.example", "Request-Id", SCOPE.requestId, "X-Multi", "1", "x-multi", "2"];

/** An answer with what the connection that it came on has become. */
interface ReceivedAnswer {
    readonly status: number;
    readonly outcome: unknown;
    readonly connection: unknown;
}

let helper: ForwardHelper;
let agent: Agent;
let answers: ReceivedAnswer[] = [];
let sockets: Socket[] = [];

Given("a forward server", async () => {
    answers = [];
    sockets = [];
    agent = new Agent({ keepAlive: true, maxSockets: 1 });
    helper = await startForwardHelper(({ res }) => void res.end("hello"));
});

After(async () => {
    (agent as Agent | undefined)?.destroy();
    await (helper as ForwardHelper | undefined)?.close();
});

function sign(changes: Partial<ForwardScope> = {}, key = PEER_KEY): readonly string[] {
    return signForwardMark(key, { ...SCOPE, ...changes }, MARK);
}

const [, MARK_TEXT = "", , MAC = ""] = sign();
/** The header of a mark that no host has signed, by what the table says of the request. */
const ARRIVALS: Readonly<Record<string, readonly string[]>> = {
    "without the header of the mark": [MARK_MAC_HEADER, MAC],
    "without the header of the code": [MARK_HEADER, MARK_TEXT],
    "without the header of the request id": sign(),
    "with a forged code": [MARK_HEADER, MARK_TEXT, MARK_MAC_HEADER, MAC.replaceAll(/[0-9]/g, "a")],
    "with another mark": [MARK_HEADER, `${MARK_TEXT}x`, MARK_MAC_HEADER, MAC],
    "signed with another key": sign({}, "o".repeat(32)),
    "signed for another host": sign({ host: "front-3" }),
    "signed for another method": sign({ method: "PUT" }),
    "signed for another path": sign({ path: "/a?b=2" }),
    "signed for another request": sign({ requestId: "r2" }),
    "signed with a text that is no mark": [
        MARK_HEADER,
        NO_MARK_TEXT,
        MARK_MAC_HEADER,
        computeMarkMac(PEER_KEY, SCOPE, NO_MARK_TEXT),
    ],
};

function open(path: string, headers: readonly string[]): ClientRequest {
    const req = request({ host: LOCAL, port: helper.port, agent, method: SCOPE.method, path, headers: [...headers] });
    req.on("error", () => undefined);
    req.on("socket", socket => void sockets.push(socket));
    return req;
}

async function receive(req: ClientRequest): Promise<void> {
    const [res] = await once(req, "response") as [IncomingMessage];
    const { "fulmarcleat-outcome": outcome, connection } = res.headers;
    answers.push({ status: res.statusCode ?? 0, outcome, connection });
    res.resume();
    await once(res, "end");
}

When(
    /^a request comes (with.*|signed.*), and its client waits with the body of (\d+) bytes$/,
    async (arrival: string, length: string) => {
        const mark = ARRIVALS[arrival];
        ok(mark !== undefined);
        const client = arrival.endsWith("request id") ? ["Host", "a.example"] : CLIENT_HEADERS;
        const req = open(SCOPE.path, [...client, "Content-Length", length, ...mark]);
        req.flushHeaders();
        await receive(req);
    },
);

Then("it is refused with 403 as not run, and its connection is closed", async () => {
    deepStrictEqual(answers, [{ status: 403, outcome: "not_run", connection: "close" }]);
    await waitForClose();
    strictEqual(helper.handled.length, 0);
});

async function waitForClose(): Promise<void> {
    const socket = sockets.at(-1);
    if (socket?.closed === false) {
        await once(socket, "close");
    }
    strictEqual(socket?.closed, true);
}

Then("the refusal is counted and logged with the reason {string}", (reason: string) => {
    strictEqual(helper.metrics.read("forward_refusals_total", { reason }), 1);
    const events = helper.events.map(({ event, fields }) => [event, fields["reason"], fields["from"]]);
    deepStrictEqual(events, [[414, reason, LOCAL]]);
});

When("a request comes as it was signed", async () => {
    const [markName = "", text = "", macName = "", mac = ""] = sign();
    const marks = [markName.toUpperCase(), text, macName, mac, "FULMARCLEAT-FORWARD", "second"];
    const req = open(SCOPE.path, [...marks.slice(0, 2), ...CLIENT_HEADERS, ...marks.slice(2), "Content-Length", "0"]);
    req.end();
    await receive(req);
});

Then("it is handled, and none of its headers names the mark", () => {
    const [handled] = helper.handled;
    ok(handled !== undefined && helper.handled.length === 1);
    const { req, mark } = handled;
    deepStrictEqual(mark, MARK);
    deepStrictEqual(req.rawHeaders.slice(0, CLIENT_HEADERS.length), CLIENT_HEADERS);
    const names = [...req.rawHeaders, ...Object.keys(req.headers), ...Object.keys(req.headersDistinct)];
    deepStrictEqual(names.filter(name => /forward/i.test(name)), []);
    strictEqual(answers[0]?.status, 200);
});

Then("no refusal is counted or logged", async () => {
    deepStrictEqual(helper.events, []);
    ok(!(await helper.metrics.expose()).includes("forward_refusals_total"));
});

When("its mark comes again on the same connection with another request", async () => {
    const headers = ["Host", "a.example", "Request-Id", "r2", ...sign(), "Content-Length", "0"];
    const req = open(SCOPE.path, headers);
    req.end();
    await receive(req);
});

Then("only the first request is handled, and the connection is closed", async () => {
    deepStrictEqual(answers.map(({ status }) => status), [200, 403]);
    strictEqual(sockets[0], sockets[1]);
    strictEqual(helper.handled.length, 1);
    await waitForClose();
});
