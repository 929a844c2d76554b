import { toErrorBody, toErrorStatus, toServeError } from "@fulmarcleat/errors";
import { createEventLog } from "@fulmarcleat/events";
import findMyWay from "find-my-way";
import type { HTTPMethod } from "find-my-way";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { z } from "zod";

const FAULTS_PATH = "/faults";
const log = createEventLog({ process: "standin" });

/** A request to a stand-in, with the parameters of its path, its query and its parsed body. */
export interface StandinRequest {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly params: Readonly<Record<string, string | undefined>>;
    readonly query: Readonly<Record<string, string | undefined>>;
    readonly body: unknown;
}

/** A route of a stand-in server. */
export interface StandinRoute {
    readonly method: HTTPMethod;
    readonly path: string;
    /** Handles a request; its result is sent as JSON, or is undefined if the handler has sent a response itself. */
    readonly handle: (request: StandinRequest) => unknown;
}

/** Schema of the faults that every stand-in supports. */
export const serverFaultShape = {
    /** Every connection is closed immediately. */
    down: z.boolean().optional(),
    /** Delay before each response, in milliseconds. */
    delayMs: z.int().min(0).optional(),
    /** Open connections stop responding for good; new ones work. */
    silence: z.boolean().optional(),
} as const;

/** Faults that every stand-in supports. */
interface ServerFaults {
    readonly down?: boolean | undefined;
    readonly delayMs?: number | undefined;
    readonly silence?: boolean | undefined;
}

/** Address and routes of a stand-in server. */
export interface StandinServerOptions {
    readonly host: string;
    readonly port: number;
    readonly routes: readonly StandinRoute[];
}

/** A running stand-in server. */
export interface StandinServer {
    readonly url: string;
    setFaults(faults: ServerFaults): void;
    /** Makes the open connections stop responding for good; new ones work. */
    silenceConnections(): void;
    close(): Promise<void>;
}

/**
 * Starts the HTTP server of a stand-in, with the faults that all stand-ins support.
 *
 * @param options - Address to listen on and routes to serve
 * @returns the running server
 *
 * @example
 * const server = await createStandinServer({ host: "127.0.0.1", port: 0, routes });
 */
export async function createStandinServer(options: StandinServerOptions): Promise<StandinServer> {
    let isDown = false;
    let delayMs = 0;
    const sockets = new Set<Socket>();
    /** Connections that are setting faults; they are exempt from faults, so that faults can be removed again. */
    const controlSockets = new Set<Socket>();
    const listAffectedSockets = (): readonly Socket[] => [...sockets].filter(socket => !controlSockets.has(socket));
    const router = findMyWay<findMyWay.HTTPVersion.V1>();
    for (const route of options.routes) {
        router.on(
            route.method,
            route.path,
            (req, res, params, store, query) => handleRequest(route, req, res, params, query),
        );
    }
    const server = createServer(async (req, res) => {
        if (req.url === FAULTS_PATH) {
            controlSockets.add(req.socket);
            res.once("close", () => controlSockets.delete(req.socket));
            router.lookup(req, res);
            return;
        }
        if (delayMs > 0) {
            await new Promise(resolve => setTimeout(resolve, delayMs));
        }
        if (isDown) {
            req.socket.destroy();
            return;
        }
        router.lookup(req, res);
    });
    server.keepAliveTimeout = 60_000;
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise<void>(resolve => server.listen(options.port, options.host, resolve));
    const { port } = server.address() as AddressInfo;
    return {
        url: `http://${options.host}:${port}`,
        setFaults(changed) {
            isDown = changed.down ?? isDown;
            delayMs = changed.delayMs ?? delayMs;
            if (isDown) {
                listAffectedSockets().forEach(socket => socket.destroy());
            }
            if (changed.silence === true) {
                listAffectedSockets().forEach(silenceSocket);
            }
        },
        silenceConnections: () => sockets.forEach(silenceSocket),
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}

function silenceSocket(socket: Socket): void {
    socket.pause();
    socket.removeAllListeners("data");
    socket.write = () => true;
    socket.end = () => socket;
}

async function handleRequest(
    route: StandinRoute,
    req: IncomingMessage,
    res: ServerResponse,
    params: StandinRequest["params"],
    query: StandinRequest["query"],
): Promise<void> {
    try {
        const body = await readBody(req);
        const result = await route.handle({ req, res, params, query, body });
        if (result !== undefined) {
            sendJson(res, 200, result);
        }
    }
    catch (err) {
        const serveError = toServeError(err, {
            code: "bad_request",
            step: "stand-in",
            peer: "self",
            outcome: "not_run",
        });
        sendJson(res, toErrorStatus(serveError.code), toErrorBody(serveError, ""));
    }
}

async function readBody(req: IncomingMessage): Promise<unknown> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) {
        chunks.push(chunk as Buffer);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    const isJson = (req.headers["content-type"] ?? "application/json").includes("json");
    return text === "" || !isJson ? text : JSON.parse(text);
}

/**
 * Sends a JSON response, unless a response was already sent or the connection is closed.
 *
 * @param res - Response to write to
 * @param status - HTTP status
 * @param body - Value to send as JSON
 * @returns nothing
 *
 * @example
 * sendJson(res, 409, { status: "refused" });
 */
export function sendJson(res: ServerResponse, status: number, body: unknown): void {
    if (!res.headersSent && !res.destroyed) {
        res.writeHead(status, { "content-type": "application/json" });
        res.end(JSON.stringify(body));
    }
}

/**
 * Creates the route that sets the faults of a stand-in.
 *
 * @param schema - Schema of the supported faults
 * @param apply - Applies the validated faults
 * @returns the route `POST /faults`
 *
 * @example
 * const routes = [createFaultRoute(faultSchema, faults => server.setFaults(faults))];
 */
export function createFaultRoute<T>(schema: z.ZodType<T>, apply: (faults: T) => void): StandinRoute {
    return {
        method: "POST",
        path: FAULTS_PATH,
        handle: request => {
            const faults = schema.parse(request.body);
            apply(faults);
            log.write("info", 900, { faults: JSON.stringify(faults) });
            return { done: true };
        },
    };
}
