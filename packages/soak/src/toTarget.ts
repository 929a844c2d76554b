import type { FrontProcess } from "./createFrontProcess.js";

/**
 * Returns the address at which a front process accepts requests of clients.
 *
 * @param front - Front process
 * @returns its host name, IP address and port
 *
 * @example
 * await sendRequest(req, toTarget(front), agent);
 */
export function toTarget({ host }: FrontProcess): { host: string; ip: string; port: number } {
    return { host: host.name, ip: host.ip, port: host.clientPort };
}
