/** Retry-After of a stopping host, in milliseconds; another host can serve the request at once. */
export const STOPPING_RETRY_MS = 30;
