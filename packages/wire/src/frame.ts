import type { HostId } from "@fulmarcleat/ids";
import type { ExchangeName } from "./messages.js";

/** A frame on a connection between two processes; `t` is its type. */
export type Frame =
    | { readonly t: "challenge"; readonly nonce: string }
    | { readonly t: "proof"; readonly host: HostId; readonly nonce: string; readonly mac: string }
    | { readonly t: "welcome"; readonly host: HostId; readonly mac: string }
    | { readonly t: "ask"; readonly id: number; readonly name: ExchangeName; readonly body: unknown }
    | { readonly t: "reply"; readonly id: number; readonly body: unknown }
    | { readonly t: "error"; readonly id: number; readonly code: string; readonly message: string }
    | { readonly t: "ping" }
    | { readonly t: "pong" };

/** Maximum length of a frame's body, in bytes. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;
/** Size of the length field that precedes each frame, in bytes. */
export const LENGTH_BYTES = 4;
