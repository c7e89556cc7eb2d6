/** Services and contracts that tests, torture and benchmarks share. */
import type { Contract } from "../src/version/contract.js";
import type { ServicePlan } from "./servicePlan.js";

/** Creates a contract with the classes of all customers of the stand-ins. */
export function createContract(
    customer: string,
    allowance = { requestsPerSecond: 50_000, burst: 50_000 },
    bound = 4,
): Contract {
    return {
        customer,
        allowance,
        retries: { bound, resendWindowSeconds: 60 },
        classes: {
            browse: { worth: 20, idempotent: true, deadlineMilliseconds: 1500 },
            lookup: { worth: 50, idempotent: true, deadlineMilliseconds: 1000 },
            advance: { worth: 80, idempotent: false, deadlineMilliseconds: 1500 },
            certificate: { worth: 90, idempotent: false, deadlineMilliseconds: 1500 },
        },
    };
}

/** Three services in three data centres, each calling the next one down. */
export function createChain(serviceMs: number, slots: number): ServicePlan[] {
    return [
        {
            name: "ekspor",
            slots,
            serviceMs,
            calls: [{ service: "kas-benang", path: "/record" }],
            dataCentres: ["pekalongan", "klaten"],
        },
        {
            name: "kas-benang",
            slots,
            serviceMs,
            calls: [{ service: "katalog", class: "lookup", path: "/lookup" }],
            dataCentres: ["klaten", "jepara", "pekalongan"],
        },
        { name: "katalog", slots, serviceMs, calls: [], dataCentres: ["jepara", "pekalongan"] },
    ];
}

/** Formats a contract as TOML. */
export function formatContract(contract: Contract): string {
    const classes = Object.entries(contract.classes).map(([name, value]) =>
        `[classes.${name}]\nworth = ${value.worth}\nidempotent = ${value.idempotent}\ndeadlineMilliseconds = ${value.deadlineMilliseconds}\n`
    );
    return `customer = "${contract.customer}"
[allowance]
requestsPerSecond = ${contract.allowance.requestsPerSecond}
burst = ${contract.allowance.burst}
[retries]
bound = ${contract.retries.bound}
resendWindowSeconds = ${contract.retries.resendWindowSeconds}
${classes.join("")}`;
}
