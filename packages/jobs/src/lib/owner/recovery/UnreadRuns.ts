import type { BackendRow, JobId, UnreadRun } from '@mastichead/core'
import { getUnreadRunKey } from '@mastichead/core'
import type { ReplicaRow } from '../../log/ReplicaRow.js'
import type { RunListing } from '../../ports/RunListing.js'
import type { LeaseLedger } from '../leases/LeaseLedger.js'
import type { OwnerContext } from '../terms/OwnerContext.js'

/**
 * Keeps count of the runs that earlier owners have recorded of jobs whose submissions this owner has not read.
 * They use room on their servers and count for the limits of their teams, until the job is read or the run
 * is known to be over.
 *
 * @internal
 */
export class UnreadRuns {
	private readonly runs = new Map<JobId, readonly UnreadRun[]>()

	/**
	 * @param replan - called when tasks may be placed that runs counted here kept waiting
	 */
	constructor(
		private readonly context: Pick<OwnerContext, 'backends' | 'events' | 'metrics'>,
		private readonly leases: Pick<LeaseLedger, 'inherit' | 'isOver'>,
		private readonly replan: () => void
	) {}

	/** Counts the recorded runs of a job that has not been read. */
	addJob({ id, snapshot, placements }: ReplicaRow): void {
		if (this.runs.has(id)) return
		const { backends } = this.context
		const runs: UnreadRun[] = []
		for (const { place, phase, backend, use } of snapshot?.tasks ?? []) {
			if (phase !== 'placed' || backend === undefined) continue
			const recordedAt = placements.get(place)?.readAt ?? -Infinity
			runs.push({ job: id, place, backend, recordedAt, use })
		}
		if (runs.length === 0) return
		this.runs.set(id, runs)
		for (const run of runs) {
			backends.addUnreadRun(run)
			this.leases.inherit(backends.getOrCreate(run.backend))
		}
	}

	/** Forgets the runs of a job that has been read: from now on its tasks count. */
	removeJob(id: JobId): void {
		for (const run of this.runs.get(id) ?? []) this.context.backends.removeUnreadRun(run)
		this.runs.delete(id)
	}

	/**
	 * Handles a listing of this term, which comes after the last order of an earlier owner that the server
	 * carries out: what a complete one does not name as running is over.
	 */
	handleListed(row: BackendRow, { running, isComplete }: RunListing): void {
		if (!isComplete || row.unreadRuns.size === 0) return
		const listedTasks = new Set<string>(running.map(({ task }) => task))
		const listedJobs = new Set(running.map(({ task }) => getJobId(task)))
		this.end(row, 'unlisted', (run) =>
			run.use ? !listedTasks.has(getUnreadRunKey(run)) : !listedJobs.has(run.job)
		)
	}

	/** Handles that the leases on a server have expired. */
	handleLeasesExpired(row: BackendRow): void {
		this.end(row, 'lapsed', ({ recordedAt }) =>
			this.leases.isOver({ orderState: 'inherited', orderStateChangedAt: recordedAt })
		)
	}

	/** Handles that the process of a server has ended. */
	handleProcessEnd(row: BackendRow): void {
		this.end(row, 'gone', () => true)
	}

	/** Returns how many runs are counted, and of how many of them no record tells what they use. */
	getReport(): { readonly unreadRuns: number; readonly unknownUses: number } {
		const runs = [...this.context.backends.all].flatMap((row) => [...row.unreadRuns.values()])
		return { unreadRuns: runs.length, unknownUses: runs.filter(({ use }) => !use).length }
	}

	private end(
		row: BackendRow,
		reason: 'unlisted' | 'lapsed' | 'gone',
		isOver: (run: UnreadRun) => boolean
	): void {
		const over = [...row.unreadRuns.values()].filter(isOver)
		if (over.length === 0) return
		const { backends, events, metrics } = this.context
		for (const run of over) backends.removeUnreadRun(run)
		metrics.count('unread_run_ends', reason, over.length)
		const { id: backend, unreadRuns } = row
		const details = { backend, reason, count: over.length, remaining: unreadRuns.size }
		events.info('unread-runs-ended', details)
		this.replan()
	}
}

function getJobId(task: string): JobId {
	return task.slice(0, task.indexOf('.'))
}
