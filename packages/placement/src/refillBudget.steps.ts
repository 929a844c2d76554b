import { registerTable } from "@fulmarcleat/testing";
import { refillBudget } from "./refillBudget.js";

registerTable("refillBudget", refillBudget);
