import { registerTable } from "@fulmarcleat/testing";
import { countReplicas } from "./countReplicas.js";

registerTable("countReplicas", countReplicas);
