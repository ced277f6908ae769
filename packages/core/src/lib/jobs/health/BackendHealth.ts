import type { BackendId } from '../BackendId.js'
import type { JobId } from '../JobId.js'
import type { BackendRow } from '../BackendRow.js'

/**
 * Number of different jobs that must fail on a server, without a successful run in between, before
 * it is avoided. More than one, because a single job may be at fault itself.
 */
const FAILED_JOB_LIMIT = 2
/** Consecutive orders that a server must leave unanswered or refuse as unhealthy to be avoided. */
const ORDER_FAILURE_LIMIT = 2
/** Bounds of the time for which a server is avoided, in milliseconds; it doubles each time. */
const MINIMUM_AVOIDANCE_TIME = 800
const MAXIMUM_AVOIDANCE_TIME = 6_000
/** Largest share of a service's servers that is avoided at once. */
const MAXIMUM_AVOIDED_SHARE = 0.34

interface HealthRecord {
	/** Jobs with failed runs since the latest successful run. */
	readonly failedJobs: Set<JobId>
	consecutiveOrderFailures: number
	/** Number of times that the server was avoided since its latest successful run. */
	avoidances: number
}

/**
 * Takes failing backend servers out of placement for a growing time, limited to a share of each
 * service's servers.
 *
 * @public
 */
export class BackendHealth {
	private readonly records = new Map<BackendId, HealthRecord>()

	constructor(private readonly getBackends: () => Iterable<BackendRow>) {}

	/** Records a run that ended successfully on the server. */
	recordRunSuccess(backend: BackendId): void {
		this.records.delete(backend)
	}

	/** Records a run that ended as `failed`. Returns whether the server is now avoided for it. */
	recordRunFailure(row: BackendRow, job: JobId, now: number): boolean {
		const record = this.getOrCreate(row.id)
		record.failedJobs.add(job)
		if (record.failedJobs.size < FAILED_JOB_LIMIT) return false
		record.failedJobs.clear()
		return this.avoid(row, now)
	}

	/**
	 * Records an order that the server did not answer or refused as unhealthy. Returns whether the
	 * server is now avoided for it.
	 */
	recordOrderFailure(row: BackendRow, now: number): boolean {
		const record = this.getOrCreate(row.id)
		record.consecutiveOrderFailures += 1
		if (record.consecutiveOrderFailures < ORDER_FAILURE_LIMIT) return false
		record.consecutiveOrderFailures = 0
		return this.avoid(row, now)
	}

	/** Records an order that the server carried out. */
	recordOrderSuccess(backend: BackendId): void {
		const record = this.records.get(backend)
		if (record) record.consecutiveOrderFailures = 0
	}

	/** Removes the record of a server that has left. */
	remove(backend: BackendId): void {
		this.records.delete(backend)
	}

	private avoid(row: BackendRow, now: number): boolean {
		if (row.avoidedUntil > now || !this.canAvoid(row, now)) return false
		const record = this.getOrCreate(row.id)
		const duration = Math.min(
			MAXIMUM_AVOIDANCE_TIME,
			MINIMUM_AVOIDANCE_TIME * 2 ** record.avoidances
		)
		record.avoidances += 1
		row.avoidedUntil = now + duration
		return true
	}

	private canAvoid(row: BackendRow, now: number): boolean {
		let registered = 0
		let avoided = 0
		for (const other of this.getBackends()) {
			if (other.service !== row.service || !other.registered) continue
			registered += 1
			if (other.avoidedUntil > now) avoided += 1
		}
		return avoided + 1 <= Math.max(1, registered * MAXIMUM_AVOIDED_SHARE)
	}

	private getOrCreate(id: BackendId): HealthRecord {
		let record = this.records.get(id)
		if (!record) {
			record = { failedJobs: new Set(), consecutiveOrderFailures: 0, avoidances: 0 }
			this.records.set(id, record)
		}
		return record
	}
}
