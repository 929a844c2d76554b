import { registerTable } from "@fulmarcleat/testing";
import { mayRetryService } from "./mayRetryService.js";

registerTable("mayRetryService", mayRetryService);
