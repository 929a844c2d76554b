import { registerTable } from "@fulmarcleat/testing";
import { adaptPace } from "./adaptPace.js";

registerTable("adaptPace", adaptPace);
