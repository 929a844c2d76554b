import { configCommitSpecification } from "./configCommitSpecification.js";
import type { CommitDefects, CommitScope } from "./configCommitSpecification.js";
import { configSpreadSpecification } from "./configSpreadSpecification.js";
import type { SpreadDefects } from "./configSpreadSpecification.js";
import { exploreSpecification } from "./exploreSpecification.js";
import type { CheckedSpecification, NamedDefect } from "./specification.js";
import { stopAtFirstViolation } from "./stopAtFirstViolation.js";

/** The specifications of how configuration is accepted, kept and spread. */
export const CONFIG_SPECIFICATIONS: readonly CheckedSpecification[] = [
    {
        name: "configuration commit",
        explore: () => exploreSpecification(configCommitSpecification("commit", {})),
        defects: [
            nameCommitDefect("say accepted before the write is known", "commit", { acceptUnknown: true }),
            nameCommitDefect("write again without reading back", "commit", { rewriteBlindly: true }),
            nameCommitDefect("trust a log that was cut", "commit", { trustShortLog: true }),
            nameCommitDefect("compact the log before the pages", "commit", { compactLogFirst: true }),
        ],
    },
    {
        name: "configuration compaction",
        explore: () => exploreSpecification(configCommitSpecification("compaction", {})),
        defects: [
            nameCommitDefect("compact the log before the pages, read by a host", "compaction", {
                compactLogFirst: true,
            }),
            nameCommitDefect("read the base after the pages", "compaction", { readBaseLate: true }),
        ],
    },
    {
        name: "configuration spread",
        explore: () => exploreSpecification(configSpreadSpecification({})),
        defects: [
            nameSpreadDefect("accept an older configuration", { acceptOlder: true }),
            nameSpreadDefect("serve an incomplete configuration", { serveIncomplete: true }),
            nameSpreadDefect("serve an older configuration than the peers'", { ignorePeers: true }),
            nameSpreadDefect("trust a compacted log alone", { trustLogAlone: true }),
        ],
    },
];

function nameCommitDefect(name: string, scope: CommitScope, defects: CommitDefects): NamedDefect {
    return {
        name,
        explore: () => exploreSpecification(stopAtFirstViolation(configCommitSpecification(scope, defects))),
    };
}

function nameSpreadDefect(name: string, defects: SpreadDefects): NamedDefect {
    return { name, explore: () => exploreSpecification(stopAtFirstViolation(configSpreadSpecification(defects))) };
}
