import type { Forwarder } from "./createForwarder.js";

/** A forwarder for tests in which no request may be handed to another host. */
export const NO_FORWARDER: Forwarder = {
    send() {
        throw new Error("no request is handed to another host here");
    },
};
