import type { EngineEntry } from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock } from "@fulmarcleat/ids";
import type { AdapterName, BaseModel, EngineId, HostId, Incarnation, ManualClock, ServiceName } from "@fulmarcleat/ids";
import { deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { AdapterLoadAsk, EngineUseReply, EngineUseTell, PeerAddress, PeerClient } from "@fulmarcleat/wire";
import { setImmediate } from "node:timers/promises";
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
        await openBoard({
            self,
            engines: [],
            owners: new Map(owner === "" ? [] : [[ENGINE, owner]]),
            isFenced: state === "has been fenced",
            isReached: state !== "does not reach it",
            ask(to, ask) {
                sent.push({ to: to.host, isRelayed: (ask as AdapterLoadAsk).isRelayed });
                return Promise.resolve({ kind: "ready", inMs: 250 });
            },
        });
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

Then(
    /^an absent adapter is expected to wait (\d+) ms for a place there, and loads (can|can't) be ordered$/,
    (placeWaitMs: string, can: string) => {
        const { model, adapter, version } = ASK;
        const presence = board.find({ id: ENGINE, models: [] } as unknown as EngineEntry, { model, adapter, version });
        deepStrictEqual(presence, { kind: "absent", placeWaitMs: Number(placeWaitMs), canLoad: can === "can" });
    },
);

let clock: ManualClock;
let tellsByEngine = new Map<EngineId, number>();
let isSilent = false;
let hasNews = false;

Given(
    "an adapter board on host {string} with {int} engines owned by {string}",
    async (self: string, count: number, owner: string) => {
        tellsByEngine = new Map();
        isSilent = false;
        const engines = Array.from({ length: count }, (value, index) => brandId<EngineId>(`i-${index}`));
        const word: EngineUseReply = { kind: "word", adapters: [], load: 0, queuedTokens: 0, placeWaitMs: 0 };
        await openBoard({
            self,
            engines,
            owners: new Map(engines.map(engine => [engine, owner])),
            isFenced: false,
            isReached: true,
            ask(to, tell) {
                const { engine } = tell as EngineUseTell;
                tellsByEngine.set(engine, (tellsByEngine.get(engine) ?? 0) + 1);
                return isSilent ? new Promise(() => undefined) : Promise.resolve(word);
            },
        });
    },
);

When("a request runs on engine {string} of the board", (id: string) => board.start(brandId(id), brandId("a1")));

When("the board's request on engine {string} ends", (id: string) => board.finish(brandId(id), brandId("a1")));

When("{int} ms pass on the board", passOnBoard);

When("the board's messages are counted from here", () => tellsByEngine.clear());

When("the board's owners fall silent", () => void (isSilent = true));

When("the board refreshes {string}", async (ids: string) => {
    const refreshed = board.refresh(ids.split(" ").map(id => brandId<EngineId>(id)));
    await passOnBoard(STEP_MS);
    hasNews = await refreshed;
});

Then("the board has told owners of {int} engines", (count: number) => strictEqual(tellsByEngine.size, count));

Then("the board had news", () => ok(hasNews));

/** Step of the manual clock between turns of the event loop, in milliseconds. */
const STEP_MS = 50;

async function passOnBoard(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
        clock.advance(STEP_MS);
        await setImmediate();
    }
}

interface BoardSetup {
    readonly self: string;
    readonly engines: readonly EngineId[];
    readonly owners: ReadonlyMap<EngineId, string>;
    /** Whether each engine has shown that another host owns it. */
    readonly isFenced: boolean;
    /** Whether owners can be asked directly. */
    readonly isReached: boolean;
    readonly ask: (to: PeerAddress, body: unknown) => Promise<unknown>;
}

async function openBoard({ self, engines, owners, isFenced, isReached, ask }: BoardSetup): Promise<void> {
    clock = createManualClock(0);
    const service = brandId<ServiceName>("models");
    const context = {
        clock,
        log: { write: () => undefined },
        deployment: { host: brandId<HostId>(self) },
        metrics: createMetrics(),
        hash: await createHasher(),
    };
    const hosts = ["b", "c"].map(name => brandId<HostId>(name));
    const address = { incarnation: INCARNATION, ip: "127.0.0.1", port: 1, isLeaving: false };
    const claim = { incarnation: INCARNATION, isReleased: false, revision: 7 };
    const knowledge = {
        config: { services: new Map([[service, { name: service, engine: {} }]]) },
        engines: new Map(engines.map(id => [id, { entry: { id, service, models: [] } }])),
        members: new Map(hosts.map(host => [host, { host, ...address }])),
        claims: new Map([...owners].map(([engine, owner]) => [engine, { host: brandId<HostId>(owner), ...claim }])),
        onWants: () => undefined,
        onEngineGone: () => undefined,
    };
    const mail: WantMail = {
        isNeeded: () => !isReached,
        noteUnreachable: () => undefined,
        post: posted => void sent.push({ to: "store", isRelayed: posted.isRelayed }),
    };
    const peers = { ask: (to: PeerAddress, name: string, body: unknown) => ask(to, body) };
    board = startAdapterBoard(
        context as unknown as FrontContext,
        knowledge as unknown as Knowledge,
        { find: () => undefined, isFenced: () => isFenced } as unknown as Ownership,
        createEngineBoard(clock),
        mail,
        () => peers as unknown as PeerClient,
    );
}
