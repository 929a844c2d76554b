import type { Priority } from "@fulmarcleat/resources";

/** Names a simulated deployment. */
export type DeploymentName = "vop" | "vestkyst";

/** Describes the size and the load of a deployment. */
export interface Deployment {
    readonly name: DeploymentName;
    readonly failureDomains: readonly string[];
    readonly gateways: number;
    readonly engines: number;
    /** Time per generated token, in milliseconds. */
    readonly tokenMs: number;
    readonly requestsPerSecond: number;
    /** Exponent of the Zipf distribution of the models' popularity. */
    readonly exponent: number;
    /** Shares of the urgent and normal classes; all other requests are bulk. */
    readonly urgentShare: number;
    readonly normalShare: number;
    /** Mean number of tokens of an answer, by class. */
    readonly tokens: Readonly<Record<Priority, number>>;
}

/** Deployments by name; the bottleneck of `vop` is the weight store, that of `vestkyst` the engines. */
export const DEPLOYMENTS: Readonly<Record<DeploymentName, Deployment>> = {
    vop: {
        name: "vop",
        failureDomains: ["wien-a", "wien-b", "linz-c"],
        gateways: 3,
        engines: 6,
        tokenMs: 25,
        requestsPerSecond: 5,
        exponent: 1.2,
        urgentShare: 0.4,
        normalShare: 0.3,
        tokens: { urgent: 12, normal: 40, bulk: 120 },
    },
    vestkyst: {
        name: "vestkyst",
        failureDomains: ["esbjerg", "fredericia", "herning", "aarhus"],
        gateways: 4,
        engines: 6,
        tokenMs: 50,
        requestsPerSecond: 20,
        exponent: 1.5,
        urgentShare: 0.2,
        normalShare: 0.3,
        tokens: { urgent: 20, normal: 80, bulk: 160 },
    },
};
