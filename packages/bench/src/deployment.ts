import type { Priority } from "@fulmarcleat/resources";

/** Name of a user's deployment. */
export type DeploymentName = "vop" | "vestkyst";

/** Sizes and load of a user's deployment. */
export interface Deployment {
    readonly name: DeploymentName;
    readonly failureDomains: readonly string[];
    readonly gateways: number;
    readonly engines: number;
    readonly tokenMs: number;
    readonly requestsPerSecond: number;
    readonly exponent: number;
    readonly urgentShare: number;
    readonly normalShare: number;
    readonly tokens: Readonly<Record<Priority, number>>;
}

/** The deployments: the weight store is the bottleneck of `vop`, the engines are that of `vestkyst`. */
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
