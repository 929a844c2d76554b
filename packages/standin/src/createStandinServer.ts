import { toErrorBody, toErrorStatus, toServeError } from "@fulmarcleat/errors";
import { createEventLog } from "@fulmarcleat/events";
import findMyWay from "find-my-way";
import type { HTTPMethod } from "find-my-way";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { z } from "zod";

const log = createEventLog({ process: "standin" });

/** One request to a stand-in. */
export interface StandinCall {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly params: Readonly<Record<string, string | undefined>>;
    readonly query: Readonly<Record<string, string | undefined>>;
    readonly body: unknown;
}

/** A route of a stand-in. */
export interface StandinRoute {
    readonly method: HTTPMethod;
    readonly path: string;
    /** Answers the call; what it returns is sent as JSON, undefined where it answered itself. */
    readonly answer: (call: StandinCall) => unknown;
}

/** Faults that every stand-in can be told to show. */
export const serverFaultShape = {
    /** Every connection is closed at once. */
    down: z.boolean().optional(),
    /** Wait before each answer, in milliseconds. */
    delayMs: z.int().min(0).optional(),
    /** Open connections fall silent for good; new ones work. */
    silence: z.boolean().optional(),
} as const;

/** Faults that every stand-in can be told to show. */
interface ServerFaults {
    readonly down?: boolean | undefined;
    readonly delayMs?: number | undefined;
    readonly silence?: boolean | undefined;
}

/** Settings of a stand-in's server. */
export interface StandinServerOptions {
    readonly host: string;
    readonly port: number;
    readonly routes: readonly StandinRoute[];
}

/** A running stand-in's server. */
export interface StandinServer {
    readonly url: string;
    setFaults(faults: ServerFaults): void;
    /** Open connections fall silent for good; new ones work. */
    silenceConnections(): void;
    close(): Promise<void>;
}

/**
 * Starts the HTTP server of a stand-in, with the faults that all stand-ins share.
 *
 * @param options - Address and routes
 * @returns the running server
 *
 * @example
 * const server = await createStandinServer({ host: "127.0.0.1", port: 0, routes });
 */
export async function createStandinServer(options: StandinServerOptions): Promise<StandinServer> {
    let isDown = false;
    let delayMs = 0;
    const sockets = new Set<Socket>();
    const router = findMyWay<findMyWay.HTTPVersion.V1>();
    for (const route of options.routes) {
        router.on(
            route.method,
            route.path,
            (req, res, params, store, query) => answerRoute(route, req, res, params, query),
        );
    }
    const server = createServer(async (req, res) => {
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
        if (isDown) {
            socket.destroy();
        }
    });
    await new Promise<void>(resolve => server.listen(options.port, options.host, resolve));
    const { port } = server.address() as AddressInfo;
    return {
        url: `http://${options.host}:${port}`,
        setFaults(changed) {
            isDown = changed.down ?? isDown;
            delayMs = changed.delayMs ?? delayMs;
            if (isDown) {
                sockets.forEach(socket => socket.destroy());
            }
            if (changed.silence === true) {
                sockets.forEach(silence);
            }
        },
        silenceConnections: () => sockets.forEach(silence),
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}

function silence(socket: Socket): void {
    socket.pause();
    socket.removeAllListeners("data");
    socket.write = () => true;
    socket.end = () => socket;
}

async function answerRoute(
    route: StandinRoute,
    req: IncomingMessage,
    res: ServerResponse,
    params: StandinCall["params"],
    query: StandinCall["query"],
): Promise<void> {
    try {
        const body = await readJson(req);
        const answer = await route.answer({ req, res, params, query, body });
        if (answer !== undefined) {
            sendJson(res, 200, answer);
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

async function readJson(req: IncomingMessage): Promise<unknown> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) {
        chunks.push(chunk as Buffer);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    const isJson = (req.headers["content-type"] ?? "application/json").includes("json");
    return text === "" || !isJson ? text : JSON.parse(text);
}

/**
 * Sends a JSON answer.
 *
 * @param res - Where to send it
 * @param status - HTTP status
 * @param body - What to send
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
 * Makes the route that sets a stand-in's faults.
 *
 * @param schema - Which faults there are
 * @param apply - Sets them
 * @returns the route `POST /faults`
 *
 * @example
 * const routes = [createFaultRoute(faultSchema, faults => server.setFaults(faults))];
 */
export function createFaultRoute<T>(schema: z.ZodType<T>, apply: (faults: T) => void): StandinRoute {
    return {
        method: "POST",
        path: "/faults",
        answer: call => {
            const faults = schema.parse(call.body);
            apply(faults);
            log.write("info", 900, { faults: JSON.stringify(faults) });
            return { done: true };
        },
    };
}
