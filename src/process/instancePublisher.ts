/** Keeps the record of this instance on the keyed log in step with what the node knows of its endpoint. */
import type { KeyedLog } from "../connection/keyedLog.js";
import { describeKeyedLogError } from "../connection/keyedLog.js";
import type { Random } from "./balancer.js";
import type { Clock } from "./clock.js";
import type { Logger } from "./logger.js";

/** Shortest time between tries after a failure, in milliseconds. */
const minBackoffMs = 400;
/** Longest time between tries after failures, in milliseconds. */
const maxBackoffMs = 4000;

/** Appends the record whenever it differs from the one on the log. */
export class InstancePublisher {
    private wanted: string | undefined;
    private published: string | undefined;
    private wake: () => void = () => undefined;

    constructor(
        private readonly clock: Clock,
        private readonly random: Random,
        private readonly logger: Logger,
        private readonly log: KeyedLog,
        private readonly topic: string,
        private readonly key: string,
    ) {}

    /** Sets what the log should say. */
    publish(value: string): void {
        this.wanted = value;
        this.wake();
    }

    /** Notes what the log says: an append that took effect late may have replaced a newer one. */
    noticePublished(value: string): void {
        this.published = value;
        this.wake();
    }

    /** Publishes until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        let failures = 0;
        signal.addEventListener("abort", () => this.wake());
        while (!signal.aborted) {
            const { wanted } = this;
            if (wanted === undefined || wanted === this.published) {
                await new Promise<void>(resolve => this.wake = resolve);
                continue;
            }
            const result = await this.log.append(this.topic, this.key, wanted);
            if (result.ok) {
                failures = 0;
                this.published = wanted;
                this.logger.info("instancePublished", { offset: result.value, record: wanted });
                continue;
            }
            failures += 1;
            this.logger.warn("publishFailed", { ...describeKeyedLogError(result.error), failures });
            const limitMs = Math.min(maxBackoffMs, minBackoffMs * 2 ** failures);
            await this.clock.sleep(limitMs * (0.5 + this.random() / 2), signal);
        }
    }
}
