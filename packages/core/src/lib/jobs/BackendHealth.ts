import type { BackendId } from './BackendId.js'
import type { JobId } from './JobId.js'
import type { BackendRow } from './BackendRow.js'

/**
 * Jobs of which runs ended `failed` there, without a run that ended well, until a server is set
 * aside. One job alone may be at fault itself.
 */
const FAILED_JOBS = 2
/** Orders in a row without an answer, or refused for the server's own trouble, until it is too. */
const TROUBLES_IN_A_ROW = 2
/** First and longest time for which a server is set aside, in milliseconds. */
const MINIMUM_AVOIDANCE = 800
const MAXIMUM_AVOIDANCE = 6_000
/** Largest share of a service's servers that is set aside at once. */
const MAXIMUM_AVOIDED_SHARE = 0.34

interface Standing {
	readonly failedJobs: Set<JobId>
	troubles: number
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
	private readonly records = new Map<BackendId, Standing>()

	constructor(private readonly getBackends: () => Iterable<BackendRow>) {}

	/** A run on the server ended well. */
	noteSuccess(backend: BackendId): void {
		this.records.delete(backend)
	}

	/** A run on the server ended `failed`. Returns whether the server is set aside for it. */
	noteFailure(row: BackendRow, job: JobId, now: number): boolean {
		const record = this.use(row.id)
		record.failedJobs.add(job)
		if (record.failedJobs.size < FAILED_JOBS) return false
		record.failedJobs.clear()
		return this.avoid(row, now)
	}

	/**
	 * The server refused an order for its own trouble, or did not answer. Returns whether it is set
	 * aside for it.
	 */
	noteTrouble(row: BackendRow, now: number): boolean {
		const record = this.use(row.id)
		record.troubles += 1
		if (record.troubles < TROUBLES_IN_A_ROW) return false
		record.troubles = 0
		return this.avoid(row, now)
	}

	/** The server carried out an order. */
	noteAnswer(backend: BackendId): void {
		const record = this.records.get(backend)
		if (record) record.troubles = 0
	}

	forget(backend: BackendId): void {
		this.records.delete(backend)
	}

	private avoid(row: BackendRow, now: number): boolean {
		if (row.avoidedUntil > now || !this.isAllowed(row, now)) return false
		const record = this.use(row.id)
		const duration = Math.min(MAXIMUM_AVOIDANCE, MINIMUM_AVOIDANCE * 2 ** record.avoidances)
		record.avoidances += 1
		row.avoidedUntil = now + duration
		return true
	}

	private isAllowed(row: BackendRow, now: number): boolean {
		let all = 0
		let avoided = 0
		for (const other of this.getBackends()) {
			if (other.service !== row.service || !other.registered) continue
			all += 1
			if (other.avoidedUntil > now) avoided += 1
		}
		return avoided + 1 <= Math.max(1, all * MAXIMUM_AVOIDED_SHARE)
	}

	private use(id: BackendId): Standing {
		let record = this.records.get(id)
		if (!record) {
			record = { failedJobs: new Set(), troubles: 0, avoidances: 0 }
			this.records.set(id, record)
		}
		return record
	}
}
