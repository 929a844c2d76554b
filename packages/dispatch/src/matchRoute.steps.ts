import { registerTable } from "@fulmarcleat/testing";
import { matchRoute } from "./matchRoute.js";

registerTable("matchRoute", matchRoute);
