import type { BackendId } from './BackendId.js'
import type { JobId } from './JobId.js'
import type { BackendRow } from './BackendRow.js'

/**
 * Jobs of which runs ended `failed` there, without a run that ended well, until a server is set
 * aside. One job alone may be at fault itself.
 */
const FAILED_JOB_LIMIT = 2
/** Orders in a row without an answer, or refused for the server's own trouble, until it is too. */
const ORDER_FAILURE_LIMIT = 2
/** First and longest time for which a server is set aside, in milliseconds. */
const MINIMUM_AVOIDANCE_TIME = 800
const MAXIMUM_AVOIDANCE_TIME = 6_000
/** Largest share of a service's servers that is set aside at once. */
const MAXIMUM_AVOIDED_SHARE = 0.34

interface HealthRecord {
	readonly failedJobs: Set<JobId>
	consecutiveOrderFailures: number
	/** How often in a row the server was set aside. */
	avoidances: number
}

/**
 * Sets aside backend servers that do not serve what they are given, for a time that grows, and
 * never more than a share of a service.
 *
 * @public
 */
export class BackendHealth {
	private readonly records = new Map<BackendId, HealthRecord>()

	constructor(private readonly getBackends: () => Iterable<BackendRow>) {}

	/** A run on the server ended well. */
	recordRunSuccess(backend: BackendId): void {
		this.records.delete(backend)
	}

	/** A run on the server ended `failed`. Returns whether the server is set aside for it. */
	recordRunFailure(row: BackendRow, job: JobId, now: number): boolean {
		const record = this.getOrCreate(row.id)
		record.failedJobs.add(job)
		if (record.failedJobs.size < FAILED_JOB_LIMIT) return false
		record.failedJobs.clear()
		return this.avoid(row, now)
	}

	/**
	 * The server refused an order for its own trouble, or did not answer. Returns whether it is set
	 * aside for it.
	 */
	recordOrderFailure(row: BackendRow, now: number): boolean {
		const record = this.getOrCreate(row.id)
		record.consecutiveOrderFailures += 1
		if (record.consecutiveOrderFailures < ORDER_FAILURE_LIMIT) return false
		record.consecutiveOrderFailures = 0
		return this.avoid(row, now)
	}

	/** The server carried out an order. */
	recordOrderSuccess(backend: BackendId): void {
		const record = this.records.get(backend)
		if (record) record.consecutiveOrderFailures = 0
	}

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
		let all = 0
		let avoided = 0
		for (const other of this.getBackends()) {
			if (other.service !== row.service || !other.registered) continue
			all += 1
			if (other.avoidedUntil > now) avoided += 1
		}
		return avoided + 1 <= Math.max(1, all * MAXIMUM_AVOIDED_SHARE)
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
