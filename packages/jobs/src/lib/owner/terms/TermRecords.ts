import type { BackendId } from '@mastichead/core'
import { hasRuns } from '@mastichead/core'
import { JobRecords } from '../../log/JobRecords.js'
import type { LogRecord } from '../../ports/LogRecord.js'
import type { BackendRegistration } from '../../ports/BackendRegistration.js'
import type { OwnerContext } from './OwnerContext.js'
import { OwnerTiming } from './OwnerTiming.js'
import type { ProgressWriter } from './ProgressWriter.js'

/**
 * Records the term itself, that it goes on, and the backend servers that it knows, for the next owner.
 *
 * @internal
 */
export class TermRecords {
	private heartbeats: { cancel(): void } | undefined

	constructor(
		private readonly context: OwnerContext,
		private readonly options: {
			/** Name of this instance, also of its next process. */
			readonly instance: string
			readonly writer: ProgressWriter
			readonly getRegistration: (id: BackendId) => BackendRegistration | undefined
			/** Returns the latest recorded registration of a backend server. */
			readonly getRecorded: (id: BackendId) => BackendRegistration | undefined
		}
	) {}

	/**
	 * Records the term, and from then on at intervals that it goes on. Resolves once that is durable; no
	 * order may be sent before, since the next owner would not know of it.
	 */
	async begin(): Promise<void> {
		const { token, timers } = this.context
		const { instance, writer } = this.options
		const key = JobRecords.getTermKey(token)
		writer.markRecordChanged(key, () => JobRecords.createTermRecord(token, instance))
		this.recordHeartbeat()
		this.heartbeats = timers.every(OwnerTiming.heartbeatInterval, () => {
			this.recordHeartbeat()
		})
		await new Promise<void>((resolve) => {
			writer.whenRecordDurable(key, resolve)
		})
	}

	stop(): void {
		this.heartbeats?.cancel()
	}

	/**
	 * Records the registration of a backend server, or that it has left.
	 *
	 * @param delay - milliseconds for which the record may wait
	 */
	recordBackend(id: BackendId, delay = 0): void {
		const create = (): LogRecord => this.createBackendRecord(id)
		this.options.writer.markRecordChanged(`backend/${id}`, create, delay)
	}

	/**
	 * The next owner has to learn what became of the runs of a server that has left, or whose process has
	 * changed, so that their process stays on record.
	 */
	private createBackendRecord(id: BackendId): LogRecord {
		const { getRegistration, getRecorded } = this.options
		const registration = getRegistration(id)
		const recorded = getRecorded(id)
		const row = this.context.backends.get(id)
		const isUsed = row !== undefined && hasRuns(row)
		if (registration) {
			const isCompared = row?.reconciled === true && row.incarnation === registration.incarnation
			const earlier = isUsed && !isCompared ? getEarlierProcess(recorded, registration) : {}
			return JobRecords.createBackendRecord({ ...registration, ...earlier })
		}
		if (!recorded || !isUsed) return JobRecords.createBackendTombstone(id)
		return JobRecords.createBackendRecord({ ...recorded, departed: true })
	}

	/** Shows the other instances that there is an owner. */
	private recordHeartbeat(): void {
		const { token, getWallTime } = this.context
		this.options.writer.markRecordChanged(JobRecords.ownerKey, () =>
			JobRecords.createOwnerRecord({ token, writtenAt: getWallTime() })
		)
	}
}

function getEarlierProcess(
	recorded: BackendRegistration | undefined,
	{ incarnation }: BackendRegistration
): Pick<BackendRegistration, 'earlierIncarnation'> {
	const { earlierIncarnation } = recorded ?? {}
	if (earlierIncarnation !== undefined) return { earlierIncarnation }
	if (!recorded || recorded.incarnation === incarnation) return {}
	return { earlierIncarnation: recorded.incarnation }
}
