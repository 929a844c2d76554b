import type { EngineEntry } from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock } from "@fulmarcleat/ids";
import type { AdapterName, BaseModel, EngineId, HostId, Incarnation } from "@fulmarcleat/ids";
import { Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { AdapterLoadAsk, PeerAddress, PeerClient } from "@fulmarcleat/wire";
import { createEngineBoard } from "./createEngineBoard.js";
import type { Knowledge } from "./createKnowledge.js";
import type { WantMail } from "./createWantMail.js";
import type { FrontContext } from "./frontContext.js";
import { startAdapterBoard } from "./startAdapterBoard.js";
import type { AdapterBoard } from "./startAdapterBoard.js";
import type { Ownership } from "./startOwnership.js";

const ENGINE = brandId<EngineId>("i-1");
const INCARNATION = brandId<Incarnation>("1");
const ASK: AdapterLoadAsk = {
    engine: ENGINE,
    model: brandId<BaseModel>("base"),
    adapter: brandId<AdapterName>("a1"),
    version: undefined,
    dueInMs: 500,
    waitMs: 300,
    isMissing: false,
    isRelayed: false,
};

let board: AdapterBoard;
let sent: { readonly to: string; readonly isRelayed: boolean }[] = [];
let answer = "";

Given(
    /^an adapter board on host "(\w+)" that knows "(\w*)" as the owner of "i-1" and (.*)$/,
    async (self: string, owner: string, state: string) => {
        sent = [];
        const clock = createManualClock(0);
        const log = { write: () => undefined };
        const deployment = { host: brandId<HostId>(self) };
        const context = { clock, log, deployment, metrics: createMetrics(), hash: await createHasher() };
        const members = ["b", "c"].map(name => brandId<HostId>(name))
            .map(host =>
                [host, { host, incarnation: INCARNATION, ip: "127.0.0.1", port: 1, isLeaving: false }] as const
            );
        const claim = { host: brandId<HostId>(owner), incarnation: INCARNATION, isReleased: false, revision: 7 };
        const knowledge = {
            engines: new Map(),
            members: new Map(members),
            claims: new Map(owner === "" ? [] : [[ENGINE, claim]]),
            onWants: () => undefined,
            onEngineGone: () => undefined,
        };
        const ownership = { find: () => undefined, isFenced: () => state === "has been fenced" };
        const mail: WantMail = {
            isNeeded: () => state === "does not reach it",
            noteUnreachable: () => undefined,
            post: ask => void sent.push({ to: "store", isRelayed: ask.isRelayed }),
        };
        const peers = {
            ask(to: PeerAddress, name: string, ask: AdapterLoadAsk) {
                sent.push({ to: to.host, isRelayed: ask.isRelayed });
                return Promise.resolve({ kind: "ready", inMs: 250 });
            },
        };
        board = startAdapterBoard(
            context as unknown as FrontContext,
            knowledge as unknown as Knowledge,
            ownership as unknown as Ownership,
            createEngineBoard(clock),
            mail,
            () => peers as unknown as PeerClient,
        );
    },
);

When(/^the board is asked for an adapter by (its own request|a peer|a peer that passes on)$/, async (asker: string) => {
    const entry = { id: ENGINE } as EngineEntry;
    const { model, adapter, version } = ASK;
    const reply = asker === "its own request"
        ? await board.request(entry, { model, adapter, version }, { waitMs: 300, dueInMs: 500 }, false)
        : await board.answerLoad({ ...ASK, isRelayed: asker === "a peer that passes on" });
    answer = reply.kind;
});

Then(
    /^the ask went to "(\w*)" (directly|relayed) and the answer is "(\w+)"$/,
    (to: string, how: string, kind: string) => {
        strictEqual(sent[0]?.to ?? "", to);
        strictEqual(sent[0]?.isRelayed ?? false, how === "relayed");
        strictEqual(answer, kind);
    },
);
