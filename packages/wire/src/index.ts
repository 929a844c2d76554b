export { createFrameReader } from "./createFrameReader.js";
export type { FrameReader, FrameReaderOptions } from "./createFrameReader.js";
export { createPeerClient } from "./createPeerClient.js";
export type { PeerAddress, PeerClient, PeerClientOptions } from "./createPeerClient.js";
export { createPeerServer } from "./createPeerServer.js";
export type { PeerHandlers, PeerServer, PeerServerOptions } from "./createPeerServer.js";
export { encodeFrame } from "./encodeFrame.js";
export type { Frame } from "./frame.js";
export type * from "./messages.js";
