import type { StreamOrigin } from "@fulmarcleat/wire";
import type { ClientRequest } from "../clientRequest.js";

/**
 * Directs a stream that has begun to the service that began it, as far as its route allows that service.
 *
 * @param request - The client's request
 * @param origin - Where the stream began; undefined if it is a new one
 * @returns the request with that service; the same request if that is its service already, or the route lacks it
 *
 * @example
 * const { service } = directToOrigin(request, { service: brandId("models"), softwareVersion: undefined });
 */
export function directToOrigin(request: ClientRequest, origin: StreamOrigin | undefined): ClientRequest {
    const { alternatives, service, requestedAdapter } = request;
    const option = alternatives.find(alternative => alternative.service.name === origin?.service);
    return option === undefined ? request : {
        ...request,
        ...option,
        alternatives: [...alternatives.filter(other => other !== option), { service, requestedAdapter }],
    };
}
