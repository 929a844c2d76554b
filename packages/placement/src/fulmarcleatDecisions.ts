import { orderWaiting } from "@fulmarcleat/admission";
import { chooseEngine } from "./chooseEngine.js";
import { chooseVictim } from "./chooseVictim.js";
import { countReplicas } from "./countReplicas.js";
import { orderLoads } from "./orderLoads.js";
import type { PolicyDecisions } from "./policyDecisions.js";

/** Decisions of the system's own policy, as opposed to the baselines. */
export const FULMARCLEAT_DECISIONS: PolicyDecisions = {
    name: "fulmarcleat",
    chooseEngine,
    chooseVictim,
    orderLoads,
    orderWaiting,
    countReplicas,
};
