import {
    applyToPage,
    EMPTY_PAGE,
    mergePages,
    planCompaction,
    readLastSeq,
    resolveAttempt,
    trimLog,
} from "@fulmarcleat/config";
import type { ConfigLog } from "@fulmarcleat/config";
import { choosePage } from "@fulmarcleat/resources";
import type { ConfigChange } from "@fulmarcleat/resources";
import { createSpecChange, foldOrder, isSameContent, readStored, toContent, toPageMap } from "./configSpecParts.js";
import type { SpecContent, SpecPages } from "./configSpecParts.js";
import type { Specification } from "./specification.js";

/** Defects that can be switched on. */
export interface CommitDefects {
    /** Says accepted when no reply came. */
    readonly acceptUnknown?: boolean;
    /** Writes again after a lost reply without looking for its own change. */
    readonly rewriteBlindly?: boolean;
    /** Takes a log that no longer reaches back for one without the change. */
    readonly trustShortLog?: boolean;
    /** Moves the log's base before the pages are written. */
    readonly compactLogFirst?: boolean;
    /** Trusts the pages as of the base read after them. */
    readonly readBaseLate?: boolean;
}

interface Attempt {
    readonly rev: number;
    readonly log: ConfigLog;
    readonly change: ConfigChange;
}

interface SpecWriter {
    readonly phase: "idle" | "read" | "sent" | "conflict" | "landed" | "doubt" | "accepted" | "not_run" | "unknown";
    readonly attempt: Attempt | undefined;
    /** Whether the attempt may still reach the key-value service. */
    readonly inFlight: boolean;
}

interface SpecCompactor {
    readonly log: ConfigLog | undefined;
    readonly upTo: number;
    readonly left: readonly number[];
    readonly done: boolean;
}

interface SpecReader {
    readonly phase: "idle" | "pages" | "done";
    readonly baseSeq: number;
    readonly pages: SpecPages;
    readonly left: readonly number[];
    readonly result: SpecContent | undefined;
}

/** Who takes part: racing writers with a compactor, or racing compactors with a writer and a reader. */
export type CommitScope = "commit" | "compaction";

/** Writers, compactors and a reader on one log. */
export interface CommitState {
    readonly log: ConfigLog;
    readonly rev: number;
    readonly pages: SpecPages;
    /** Every change in the order of its commit. */
    readonly order: readonly ConfigChange[];
    readonly writers: readonly SpecWriter[];
    readonly compactors: readonly SpecCompactor[];
    readonly reader: SpecReader;
}

/** What can happen. */
export type CommitEvent =
    | {
        readonly type: "read" | "unsent" | "send" | "land" | "reply" | "loseReply" | "resolve" | "giveUp";
        readonly writer: number;
    }
    | { readonly type: "plan" | "writePage" | "moveBase"; readonly compactor: number }
    | { readonly type: "readBase" | "readPage" | "readLog" };

const NAMES = ["b", "a"] as const;
const FIRST = createSpecChange(1, "first", "a");
const SCOPES = {
    commit: { writers: 2, compactors: 1, reads: false },
    compaction: { writers: 1, compactors: 2, reads: true },
} as const;
const IDLE_WRITER: SpecWriter = { phase: "idle", attempt: undefined, inFlight: false };
const IDLE_COMPACTOR: SpecCompactor = { log: undefined, upTo: 0, left: [], done: false };
const IDLE_READER: SpecReader = { phase: "idle", baseSeq: 0, pages: {}, left: [], result: undefined };
const STATE_LIMIT = 200_000;

/**
 * Specifies how changes are committed, compacted and read, with lost and late replies.
 *
 * @param scope - Who takes part
 * @param defects - Defects to switch on
 * @returns the specification
 *
 * @example
 * exploreSpecification(configCommitSpecification("commit", {}));
 */
export function configCommitSpecification(
    scope: CommitScope,
    defects: CommitDefects,
): Specification<CommitState, CommitEvent> {
    return {
        name: `configuration ${scope}`,
        initial: {
            log: { baseSeq: 0, changes: [FIRST] },
            rev: 1,
            pages: {},
            order: [FIRST],
            writers: NAMES.slice(0, SCOPES[scope].writers).map(() => IDLE_WRITER),
            compactors: Array.from({ length: SCOPES[scope].compactors }, () => IDLE_COMPACTOR),
            reader: SCOPES[scope].reads ? IDLE_READER : { ...IDLE_READER, phase: "done" },
        },
        listEvents: state => listEvents(state, defects),
        step: (state, event) => step(state, event, defects),
        invariants: [
            {
                name: "nothing accepted is lost",
                check: state =>
                    isSameContent(readStored(state.log, state.pages), foldOrder(state.order, state.order.length))
                        ? undefined
                        : `the service holds ${JSON.stringify(readStored(state.log, state.pages))}`,
            },
            {
                name: "accepted is committed, not run is not",
                check: state => state.writers.map((writer, at) => checkOutcome(state, writer, at)).find(Boolean),
            },
            {
                name: "a change is committed once",
                check: state => (isCommittedTwice(state) ? "a change stands twice in the order" : undefined),
            },
            {
                name: "a reader sees a prefix of the order",
                check: ({ order, reader }) =>
                    reader.result === undefined || isSameContent(reader.result, foldOrder(order, reader.result.seq))
                        ? undefined
                        : `it read ${JSON.stringify(reader.result)}`,
            },
        ],
        limit: STATE_LIMIT,
    };
}

function checkOutcome(state: CommitState, writer: SpecWriter, at: number): string | undefined {
    const isCommitted = state.order.some(change => change.changeId === formatId(at));
    if (writer.phase === "accepted" && !isCommitted) {
        return `writer ${at} said accepted`;
    }
    return writer.phase === "not_run" && (isCommitted || writer.inFlight) ? `writer ${at} said not run` : undefined;
}

function isCommittedTwice(state: CommitState): boolean {
    return new Set(state.order.map(change => change.changeId)).size < state.order.length;
}

function formatId(writer: number): string {
    return `w${writer}`;
}

function listEvents(state: CommitState, defects: CommitDefects): readonly CommitEvent[] {
    return [
        ...state.writers.flatMap((writer, at) => listWriterEvents(writer).map(type => ({ type, writer: at }))),
        ...state.compactors.flatMap((compactor, at) =>
            listCompactorEvents(state, compactor, defects).map(type => ({ type, compactor: at }))
        ),
        ...listReaderEvents(state.reader),
    ];
}

type WriterEventType = Extract<CommitEvent, { writer: number }>["type"];
type CompactorEventType = Extract<CommitEvent, { compactor: number }>["type"];

function listWriterEvents(writer: SpecWriter): readonly WriterEventType[] {
    const late: readonly WriterEventType[] = writer.inFlight ? ["land"] : [];
    switch (writer.phase) {
        case "idle":
            return ["read"];
        case "read":
            return ["send", "unsent"];
        case "sent":
            return ["land", "loseReply"];
        case "landed":
        case "conflict":
            return ["reply", "loseReply"];
        case "doubt":
            return [...late, "resolve", "giveUp"];
        case "accepted":
        case "not_run":
        case "unknown":
            return late;
    }
}

function listCompactorEvents(
    state: CommitState,
    compactor: SpecCompactor,
    defects: CommitDefects,
): readonly CompactorEventType[] {
    if (compactor.done) {
        return [];
    }
    if (compactor.log === undefined) {
        return planCompaction(state.log) === undefined ? [] : ["plan"];
    }
    if (defects.compactLogFirst === true && state.log.baseSeq < compactor.upTo) {
        return ["moveBase"];
    }
    return compactor.left.length > 0 ? ["writePage"] : ["moveBase"];
}

function listReaderEvents(reader: SpecReader): readonly CommitEvent[] {
    switch (reader.phase) {
        case "idle":
            return [{ type: "readBase" }];
        case "pages":
            return reader.left.length > 0 ? [{ type: "readPage" }] : [{ type: "readLog" }];
        case "done":
            return [];
    }
}

function step(state: CommitState, event: CommitEvent, defects: CommitDefects): CommitState {
    switch (event.type) {
        case "plan":
        case "writePage":
        case "moveBase":
            return stepCompactor(state, event.type, event.compactor);
        case "readBase":
        case "readPage":
        case "readLog":
            return { ...state, reader: stepReader(state, event.type, defects) };
        default:
            return stepWriter(state, event.type, event.writer, defects);
    }
}

function stepWriter(state: CommitState, type: WriterEventType, at: number, defects: CommitDefects): CommitState {
    const writer = state.writers[at];
    if (writer === undefined) {
        return state;
    }
    const set = (next: Partial<SpecWriter>, base: CommitState = state): CommitState => ({
        ...base,
        writers: base.writers.map((present, index) => (index === at ? { ...writer, ...next } : present)),
    });
    switch (type) {
        case "read":
            return set({ phase: "read", attempt: prepare(state, at) });
        case "unsent":
            return set({ phase: "not_run", attempt: undefined });
        case "send":
            return set({ phase: "sent", inFlight: true });
        case "land": {
            const swapped = swap(state, writer.attempt);
            const phase = writer.phase === "sent" ? (swapped === undefined ? "conflict" : "landed") : writer.phase;
            return set({ phase, inFlight: false }, swapped ?? state);
        }
        case "reply":
            return writer.phase === "landed"
                ? set({ phase: "accepted", attempt: undefined })
                : set(settle(state, at, writer, defects));
        case "loseReply":
            return defects.acceptUnknown === true ? set({ phase: "accepted" }) : set({ phase: "doubt" });
        case "giveUp":
            return set({ phase: "unknown" });
        case "resolve": {
            if (defects.rewriteBlindly === true) {
                return set({ phase: "read", attempt: prepare(state, at), inFlight: false });
            }
            const swapped = swap(state, writer.attempt);
            return swapped === undefined
                ? set({ ...settle(state, at, writer, defects), inFlight: false })
                : set({ phase: "accepted", attempt: undefined, inFlight: false }, swapped);
        }
    }
}

function prepare(state: CommitState, at: number): Attempt {
    const change = createSpecChange(readLastSeq(state.log) + 1, formatId(at), NAMES[at] ?? "a");
    return { rev: state.rev, log: { ...state.log, changes: [...state.log.changes, change] }, change };
}

function swap(state: CommitState, attempt: Attempt | undefined): CommitState | undefined {
    return attempt === undefined || attempt.rev !== state.rev
        ? undefined
        : { ...state, log: attempt.log, rev: state.rev + 1, order: [...state.order, attempt.change] };
}

function settle(state: CommitState, at: number, writer: SpecWriter, defects: CommitDefects): Partial<SpecWriter> {
    if (writer.attempt === undefined) {
        return {};
    }
    const found = resolveAttempt(state.log, writer.attempt.change);
    if (found === "accepted") {
        return { phase: "accepted", attempt: undefined };
    }
    return found === "absent" || defects.trustShortLog === true
        ? { phase: "read", attempt: prepare(state, at) }
        : { phase: "unknown", attempt: undefined };
}

function stepCompactor(state: CommitState, type: CompactorEventType, at: number): CommitState {
    const compactor = state.compactors[at] ?? IDLE_COMPACTOR;
    const set = (next: SpecCompactor, base: CommitState): CommitState => ({
        ...base,
        compactors: base.compactors.map((present, index) => (index === at ? next : present)),
    });
    switch (type) {
        case "plan": {
            const plan = planCompaction(state.log);
            return plan === undefined
                ? state
                : set({ log: state.log, upTo: plan.upTo, left: plan.pages, done: false }, state);
        }
        case "writePage": {
            const [number = 0, ...left] = compactor.left;
            const page = applyToPage(state.pages[number] ?? EMPTY_PAGE, compactor.log?.changes ?? [], {
                number,
                upTo: compactor.upTo,
            });
            return set({ ...compactor, left }, { ...state, pages: { ...state.pages, [number]: page } });
        }
        case "moveBase": {
            const isDone = compactor.left.length === 0;
            const settled = isDone ? { ...IDLE_COMPACTOR, done: true } : compactor;
            if (state.log.baseSeq >= compactor.upTo) {
                return set(settled, state);
            }
            const log = trimLog(state.log, { upTo: compactor.upTo, keepChanges: 1, keepAfterMs: 0 });
            return set(settled, { ...state, log, rev: state.rev + 1 });
        }
    }
}

function stepReader(state: CommitState, type: "readBase" | "readPage" | "readLog", defects: CommitDefects): SpecReader {
    const { reader } = state;
    switch (type) {
        case "readBase": {
            const left = [...new Set(NAMES.map(choosePage))];
            return { ...IDLE_READER, phase: "pages", baseSeq: state.log.baseSeq, left };
        }
        case "readPage": {
            const [number = 0, ...left] = reader.left;
            const page = state.pages[number];
            return { ...reader, left, pages: page === undefined ? reader.pages : { ...reader.pages, [number]: page } };
        }
        case "readLog": {
            const baseSeq = defects.readBaseLate === true ? state.log.baseSeq : reader.baseSeq;
            const merged = mergePages(baseSeq, toPageMap(reader.pages), state.log);
            return merged === undefined
                ? IDLE_READER
                : { ...IDLE_READER, phase: "done", result: toContent(merged.seq, merged.resources) };
        }
    }
}
