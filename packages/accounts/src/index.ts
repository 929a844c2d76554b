export { authenticateRequest } from "./authenticateRequest.js";
export type { Authentication, AuthenticationTerms, RequestCredentials } from "./authenticateRequest.js";
export { buildAccountIndex } from "./buildAccountIndex.js";
export type { AccountIndex } from "./buildAccountIndex.js";
export { choosePriority } from "./choosePriority.js";
