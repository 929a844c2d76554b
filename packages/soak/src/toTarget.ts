import type { FrontProcess } from "./createFrontProcess.js";

/**
 * Gives the address at which a front takes clients' requests.
 *
 * @param front - The process
 * @returns its name and address
 *
 * @example
 * await sendRequest(req, toTarget(front), agent);
 */
export function toTarget({ host }: FrontProcess): { host: string; ip: string; port: number } {
    return { host: host.name, ip: host.ip, port: host.clientPort };
}
