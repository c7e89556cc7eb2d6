/**
 * Record of this node's instance. Its revision rises with each change, and above that of any other record of its address,
 * such as one of an earlier process whose clock was ahead.
 */
import type { InstanceDescription, InstanceRecord } from "../../version/instanceRecord.js";
import { formatInstanceRecord, parseInstanceRecord } from "../../version/instanceRecord.js";

/** Current record of this node's instance. */
export class OwnInstanceRecord {
    private record: InstanceRecord;

    constructor(
        /** Describes this node's instance as it is now. */
        private readonly describeInstance: () => InstanceDescription,
        firstRevision: number,
    ) {
        this.record = { ...describeInstance(), revision: firstRevision };
    }

    /** Returns the record, with a higher revision if the instance has changed. */
    update(): InstanceRecord {
        const description = this.describeInstance();
        if (!isSameDescription(description, this.record)) {
            this.record = { ...description, revision: this.record.revision + 1 };
        }
        return this.record;
    }

    /** Makes the record newer than a different one of its address. Returns whether it had to change for that. */
    refute(text: string): boolean {
        const other = parseInstanceRecord(text);
        const own = this.update();
        if (other === undefined || text === formatInstanceRecord(own) || other.revision < own.revision) {
            return false;
        }
        this.record = { ...own, revision: other.revision + 1 };
        return true;
    }
}

function isSameDescription(description: InstanceDescription, record: InstanceRecord): boolean {
    return description.address === record.address && description.port === record.port
        && description.service === record.service && description.dataCentre === record.dataCentre
        && description.slots === record.slots && description.isTaking === record.isTaking
        && description.leavingEndpoint === record.leavingEndpoint
        && description.namedLimit?.endpoint === record.namedLimit?.endpoint
        && description.namedLimit?.perSecond === record.namedLimit?.perSecond;
}
