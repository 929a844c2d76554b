import { configCommitSpecification } from "./configCommitSpecification.js";
import type { CommitDefects, CommitScope } from "./configCommitSpecification.js";
import { configPropagationSpecification } from "./configPropagationSpecification.js";
import type { PropagationDefects } from "./configPropagationSpecification.js";
import { exploreSpecification } from "./exploreSpecification.js";
import type { CheckedSpecification, NamedDefect } from "./specification.js";
import { stopAtFirstViolation } from "./stopAtFirstViolation.js";

/** Specifications of how the configuration is committed, compacted and propagated, with their defects. */
export const CONFIG_SPECIFICATIONS: readonly CheckedSpecification[] = [
    {
        name: "configuration commit",
        explore: () => exploreSpecification(configCommitSpecification("commit", {})),
        defects: [
            createCommitDefect("say accepted before the write is known", "commit", { acceptWithoutReply: true }),
            createCommitDefect("write again without reading back", "commit", { retryWithoutRead: true }),
            createCommitDefect("trust a log that was cut", "commit", { trustTrimmedLog: true }),
            createCommitDefect("compact the log before the pages", "commit", { trimLogBeforePages: true }),
        ],
    },
    {
        name: "configuration compaction",
        explore: () => exploreSpecification(configCommitSpecification("compaction", {})),
        defects: [
            createCommitDefect("compact the log before the pages, read by a host", "compaction", {
                trimLogBeforePages: true,
            }),
            createCommitDefect("read the base after the pages", "compaction", { readBaseAfterPages: true }),
        ],
    },
    {
        name: "configuration spread",
        explore: () => exploreSpecification(configPropagationSpecification({})),
        defects: [
            createPropagationDefect("accept an older configuration", { acceptOlderSnapshot: true }),
            createPropagationDefect("serve an incomplete configuration", { reportReadyWhileIncomplete: true }),
            createPropagationDefect("serve an older configuration than the peers'", { reportReadyBehindPeers: true }),
            createPropagationDefect("trust a compacted log alone", { treatCompactedLogAsComplete: true }),
        ],
    },
];

function createCommitDefect(name: string, scope: CommitScope, defects: CommitDefects): NamedDefect {
    return {
        name,
        explore: () => exploreSpecification(stopAtFirstViolation(configCommitSpecification(scope, defects))),
    };
}

function createPropagationDefect(name: string, defects: PropagationDefects): NamedDefect {
    return { name, explore: () => exploreSpecification(stopAtFirstViolation(configPropagationSpecification(defects))) };
}
