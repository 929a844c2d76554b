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
import { createSpecChange, foldChanges, isSameContent, readStored, toContent, toPageMap } from "./configSpecParts.js";
import type { SpecContent, SpecPages } from "./configSpecParts.js";
import type { Specification } from "./specification.js";

/** Defects of commit and compaction that can be switched on. */
export interface CommitDefects {
    /** Reports a change as accepted although its write got no reply. */
    readonly acceptWithoutReply?: boolean;
    /** Retries after a lost reply without searching the log for the writer's own change. */
    readonly retryWithoutRead?: boolean;
    /** Concludes from a log that was trimmed past the change that the change was not committed. */
    readonly trustTrimmedLog?: boolean;
    /** Trims the log before the pages are written. */
    readonly trimLogBeforePages?: boolean;
    /** Assumes that the pages are as new as the log's base that was read after them. */
    readonly readBaseAfterPages?: boolean;
}

/** A compare-and-swap of the log that adds a change. */
interface Attempt {
    readonly revision: number;
    readonly log: ConfigLog;
    readonly change: ConfigChange;
}

/** A host that commits one change. */
interface SpecWriter {
    /**
     * In `landed` and `conflict`, the attempt was applied or refused and the reply is in flight; in `doubt`, the reply
     * was lost.
     */
    readonly phase: "idle" | "read" | "sent" | "conflict" | "landed" | "doubt" | "accepted" | "not_run" | "unknown";
    readonly attempt: Attempt | undefined;
    /** Whether the key-value service may still apply the attempt. */
    readonly inFlight: boolean;
}

/** A host that moves changes from the log to the pages. */
interface SpecCompactor {
    /** Log as read for the plan; undefined before that. */
    readonly log: ConfigLog | undefined;
    readonly upTo: number;
    readonly remainingPages: readonly number[];
    readonly done: boolean;
}

/** A host that loads the complete configuration. */
interface SpecReader {
    readonly phase: "idle" | "pages" | "done";
    readonly baseSeq: number;
    readonly pages: SpecPages;
    readonly remainingPages: readonly number[];
    readonly result: SpecContent | undefined;
}

/** Participants of an exploration: two writers and one compactor, or two compactors, a writer and a reader. */
export type CommitScope = "commit" | "compaction";

/** State of the commit model: writers, compactors and a reader on one log. */
export interface CommitState {
    readonly log: ConfigLog;
    readonly revision: number;
    readonly pages: SpecPages;
    /** All changes in commit order. */
    readonly commitOrder: readonly ConfigChange[];
    readonly writers: readonly SpecWriter[];
    readonly compactors: readonly SpecCompactor[];
    readonly reader: SpecReader;
}

/**
 * An event of the commit model. `land` applies or refuses a compare-and-swap at the key-value service, `unsent` is one
 * that could not be sent, `resolve` retries one whose reply was lost, and `moveBase` trims the log.
 */
export type CommitEvent =
    | {
        readonly type: "read" | "unsent" | "send" | "land" | "reply" | "loseReply" | "resolve" | "giveUp";
        readonly writer: number;
    }
    | { readonly type: "plan" | "writePage" | "moveBase"; readonly compactor: number }
    | { readonly type: "readBase" | "readPage" | "readLog" };

/** Name of the Caller that each writer puts. */
const CALLER_NAMES = ["b", "a"] as const;
const FIRST_CHANGE = createSpecChange(1, "first", "a");
/** Number of writers and compactors by scope, and whether a reader takes part. */
const PARTICIPANTS = {
    commit: { writers: 2, compactors: 1, reads: false },
    compaction: { writers: 1, compactors: 2, reads: true },
} as const;
const IDLE_WRITER: SpecWriter = { phase: "idle", attempt: undefined, inFlight: false };
const IDLE_COMPACTOR: SpecCompactor = { log: undefined, upTo: 0, remainingPages: [], done: false };
const IDLE_READER: SpecReader = { phase: "idle", baseSeq: 0, pages: {}, remainingPages: [], result: undefined };
/** Maximum number of states to explore. */
const STATE_LIMIT = 200_000;

/**
 * Specifies how configuration changes are committed, compacted and read, with lost replies and delayed writes.
 *
 * @param scope - Participants of the exploration
 * @param defects - Defects to switch on; empty for the production behaviour
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
            log: { baseSeq: 0, changes: [FIRST_CHANGE] },
            revision: 1,
            pages: {},
            commitOrder: [FIRST_CHANGE],
            writers: CALLER_NAMES.slice(0, PARTICIPANTS[scope].writers).map(() => IDLE_WRITER),
            compactors: Array.from({ length: PARTICIPANTS[scope].compactors }, () => IDLE_COMPACTOR),
            reader: PARTICIPANTS[scope].reads ? IDLE_READER : { ...IDLE_READER, phase: "done" },
        },
        listEvents: state => listEvents(state, defects),
        step: (state, event) => step(state, event, defects),
        invariants: [
            {
                name: "nothing accepted is lost",
                check: state =>
                    isSameContent(
                            readStored(state.log, state.pages),
                            foldChanges(state.commitOrder, state.commitOrder.length),
                        )
                        ? undefined
                        : `the key-value service holds ${JSON.stringify(readStored(state.log, state.pages))}`,
            },
            {
                name: "accepted is committed, not run is not",
                check: state => state.writers.map((writer, at) => checkOutcome(state, writer, at)).find(Boolean),
            },
            {
                name: "a change is committed once",
                check: state => (isCommittedTwice(state) ? "a change was committed twice" : undefined),
            },
            {
                name: "a reader sees a prefix of the order",
                check: ({ commitOrder, reader }) =>
                    reader.result === undefined
                        || isSameContent(reader.result, foldChanges(commitOrder, reader.result.seq))
                        ? undefined
                        : `the reader got ${JSON.stringify(reader.result)}`,
            },
        ],
        stateLimit: STATE_LIMIT,
    };
}

function checkOutcome(state: CommitState, writer: SpecWriter, at: number): string | undefined {
    const isCommitted = state.commitOrder.some(change => change.changeId === formatChangeId(at));
    if (writer.phase === "accepted" && !isCommitted) {
        return `writer ${at} reported an uncommitted change as accepted`;
    }
    return writer.phase === "not_run" && (isCommitted || writer.inFlight)
        ? `writer ${at} reported a change as not run that is or may be committed`
        : undefined;
}

function isCommittedTwice(state: CommitState): boolean {
    return new Set(state.commitOrder.map(change => change.changeId)).size < state.commitOrder.length;
}

function formatChangeId(writer: number): string {
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
    const delayed: readonly WriterEventType[] = writer.inFlight ? ["land"] : [];
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
            return [...delayed, "resolve", "giveUp"];
        case "accepted":
        case "not_run":
        case "unknown":
            return delayed;
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
    if (defects.trimLogBeforePages === true && state.log.baseSeq < compactor.upTo) {
        return ["moveBase"];
    }
    return compactor.remainingPages.length > 0 ? ["writePage"] : ["moveBase"];
}

function listReaderEvents(reader: SpecReader): readonly CommitEvent[] {
    switch (reader.phase) {
        case "idle":
            return [{ type: "readBase" }];
        case "pages":
            return reader.remainingPages.length > 0 ? [{ type: "readPage" }] : [{ type: "readLog" }];
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
    const updateWriter = (next: Partial<SpecWriter>, base: CommitState = state): CommitState => ({
        ...base,
        writers: base.writers.map((current, index) => (index === at ? { ...writer, ...next } : current)),
    });
    switch (type) {
        case "read":
            return updateWriter({ phase: "read", attempt: createAttempt(state, at) });
        case "unsent":
            return updateWriter({ phase: "not_run", attempt: undefined });
        case "send":
            return updateWriter({ phase: "sent", inFlight: true });
        case "land": {
            const swapped = compareAndSwap(state, writer.attempt);
            const phase = writer.phase === "sent" ? (swapped === undefined ? "conflict" : "landed") : writer.phase;
            return updateWriter({ phase, inFlight: false }, swapped ?? state);
        }
        case "reply":
            return writer.phase === "landed"
                ? updateWriter({ phase: "accepted", attempt: undefined })
                : updateWriter(resolveUnknownWrite(state, at, writer, defects));
        case "loseReply":
            return defects.acceptWithoutReply === true
                ? updateWriter({ phase: "accepted" })
                : updateWriter({ phase: "doubt" });
        case "giveUp":
            return updateWriter({ phase: "unknown" });
        case "resolve": {
            if (defects.retryWithoutRead === true) {
                return updateWriter({ phase: "read", attempt: createAttempt(state, at), inFlight: false });
            }
            const swapped = compareAndSwap(state, writer.attempt);
            return swapped === undefined
                ? updateWriter({ ...resolveUnknownWrite(state, at, writer, defects), inFlight: false })
                : updateWriter({ phase: "accepted", attempt: undefined, inFlight: false }, swapped);
        }
    }
}

function createAttempt(state: CommitState, at: number): Attempt {
    const change = createSpecChange(readLastSeq(state.log) + 1, formatChangeId(at), CALLER_NAMES[at] ?? "a");
    return { revision: state.revision, log: { ...state.log, changes: [...state.log.changes, change] }, change };
}

function compareAndSwap(state: CommitState, attempt: Attempt | undefined): CommitState | undefined {
    return attempt === undefined || attempt.revision !== state.revision
        ? undefined
        : {
            ...state,
            log: attempt.log,
            revision: state.revision + 1,
            commitOrder: [...state.commitOrder, attempt.change],
        };
}

function resolveUnknownWrite(
    state: CommitState,
    at: number,
    writer: SpecWriter,
    defects: CommitDefects,
): Partial<SpecWriter> {
    if (writer.attempt === undefined) {
        return {};
    }
    const resolution = resolveAttempt(state.log, writer.attempt.change);
    if (resolution === "accepted") {
        return { phase: "accepted", attempt: undefined };
    }
    return resolution === "absent" || defects.trustTrimmedLog === true
        ? { phase: "read", attempt: createAttempt(state, at) }
        : { phase: "unknown", attempt: undefined };
}

function stepCompactor(state: CommitState, type: CompactorEventType, at: number): CommitState {
    const compactor = state.compactors[at] ?? IDLE_COMPACTOR;
    const updateCompactor = (next: SpecCompactor, base: CommitState): CommitState => ({
        ...base,
        compactors: base.compactors.map((current, index) => (index === at ? next : current)),
    });
    switch (type) {
        case "plan": {
            const plan = planCompaction(state.log);
            return plan === undefined
                ? state
                : updateCompactor({ log: state.log, upTo: plan.upTo, remainingPages: plan.pages, done: false }, state);
        }
        case "writePage": {
            const [number = 0, ...remainingPages] = compactor.remainingPages;
            const page = applyToPage(state.pages[number] ?? EMPTY_PAGE, compactor.log?.changes ?? [], {
                number,
                upTo: compactor.upTo,
            });
            return updateCompactor({ ...compactor, remainingPages }, {
                ...state,
                pages: { ...state.pages, [number]: page },
            });
        }
        case "moveBase": {
            const isDone = compactor.remainingPages.length === 0;
            const next = isDone ? { ...IDLE_COMPACTOR, done: true } : compactor;
            if (state.log.baseSeq >= compactor.upTo) {
                return updateCompactor(next, state);
            }
            const log = trimLog(state.log, { upTo: compactor.upTo, keepChanges: 1, keepAfterMs: 0 });
            return updateCompactor(next, { ...state, log, revision: state.revision + 1 });
        }
    }
}

function stepReader(state: CommitState, type: "readBase" | "readPage" | "readLog", defects: CommitDefects): SpecReader {
    const { reader } = state;
    switch (type) {
        case "readBase": {
            const remainingPages = [...new Set(CALLER_NAMES.map(choosePage))];
            return { ...IDLE_READER, phase: "pages", baseSeq: state.log.baseSeq, remainingPages };
        }
        case "readPage": {
            const [number = 0, ...remainingPages] = reader.remainingPages;
            const page = state.pages[number];
            return {
                ...reader,
                remainingPages,
                pages: page === undefined ? reader.pages : { ...reader.pages, [number]: page },
            };
        }
        case "readLog": {
            const baseSeq = defects.readBaseAfterPages === true ? state.log.baseSeq : reader.baseSeq;
            const merged = mergePages(baseSeq, toPageMap(reader.pages), state.log);
            return merged === undefined
                ? IDLE_READER
                : { ...IDLE_READER, phase: "done", result: toContent(merged.seq, merged.resources) };
        }
    }
}
