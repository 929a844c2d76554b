import { ServeError } from "@fulmarcleat/errors";
import { brandId } from "@fulmarcleat/ids";
import type { OperatorName } from "@fulmarcleat/ids";
import { listResources, matchSecret, RESOURCE_KINDS } from "@fulmarcleat/resources";
import type { ConfigSnapshot, ResourceKind } from "@fulmarcleat/resources";

/** Name and permissions of an authenticated operator. */
export interface Operator {
    readonly name: OperatorName;
    readonly read: boolean;
    readonly write: readonly ResourceKind[];
}

const PREFIX = "bearer ";
const FIRST_OPERATOR = brandId<OperatorName>("first-operator");

/**
 * Identifies the operator that sent a request by its bearer token.
 *
 * @param snapshot - Configuration with the Operator resources
 * @param authorization - The request's `Authorization` header
 * @param firstTokenHash - SHA-256 hash of the bootstrap token, valid until an Operator may write Operators
 * @returns the operator's name and permissions
 * @throws ServeError `unauthenticated` if the token is missing or unknown
 *
 * @example
 * const operator = authenticateOperator(config.snapshot, req.headers.authorization, cfg.firstTokenHash);
 */
export function authenticateOperator(
    snapshot: ConfigSnapshot,
    authorization: string | undefined,
    firstTokenHash: string | undefined,
): Operator {
    const operators = listResources(snapshot, "Operator");
    const hasWriter = operators.some(operator => operator.spec.write.includes("Operator"));
    if (authorization?.toLowerCase().startsWith(PREFIX) === true) {
        const token = authorization.slice(PREFIX.length).trim();
        const found = operators.find(operator => matchSecret(token, operator.spec.tokenHashes));
        if (found !== undefined) {
            return {
                name: brandId<OperatorName>(found.metadata.name),
                read: found.spec.read,
                write: found.spec.write,
            };
        }
        if (!hasWriter && firstTokenHash !== undefined && matchSecret(token, [firstTokenHash])) {
            return { name: FIRST_OPERATOR, read: true, write: RESOURCE_KINDS };
        }
    }
    throw new ServeError("a valid operator token is required", {
        code: "unauthenticated",
        step: "authenticate",
        peer: "operator",
        outcome: "not_run",
    });
}
