import type { BackendId } from './BackendId.js'
import type { BackendRow } from './BackendRow.js'
import type { Resources } from './Resources.js'
import type { TaskRow } from './TaskRow.js'
import type { UnreadRun } from './UnreadRun.js'
import { addResources } from './addResources.js'
import { getReservedResources } from './placement/getReservedResources.js'
import { getUnreadRunKey } from './getUnreadRunKey.js'
import { noResources } from './noResources.js'
import { unlimitedResources } from './unlimitedResources.js'

/**
 * Tracks the backend servers, the tasks placed on each, and the resources that each team uses.
 *
 * @public
 */
export class BackendTable {
	private readonly rows = new Map<BackendId, BackendRow>()
	private readonly usageByTeam = new Map<string, Resources>()
	/** Number of unread runs of which no record tells the team. */
	private unknownUses = 0

	get(id: BackendId): BackendRow | undefined {
		return this.rows.get(id)
	}

	get all(): IterableIterator<BackendRow> {
		return this.rows.values()
	}

	/** Returns the row of a backend server, creating it if needed. */
	getOrCreate(id: BackendId): BackendRow {
		const existing = this.rows.get(id)
		if (existing) return existing
		const row = createRow(id)
		this.rows.set(id, row)
		return row
	}

	remove(id: BackendId): void {
		this.rows.delete(id)
	}

	/** Reserves resources for a task on the backend server that its row names. */
	assign(task: TaskRow): void {
		if (task.backend === undefined) return
		const row = this.getOrCreate(task.backend)
		if (row.tasks.has(task.id)) return
		row.tasks.set(task.id, task)
		row.used = addResources(row.used, getReservedResources(task.step))
		this.addTeamUsage(task.job.job.team, task.step.needs)
	}

	/** Removes a task from its backend server and releases its resources. */
	release(task: TaskRow): void {
		const row = task.backend === undefined ? undefined : this.rows.get(task.backend)
		task.backend = undefined
		if (!row?.tasks.delete(task.id)) return
		row.used = addResources(row.used, getReservedResources(task.step), -1)
		this.addTeamUsage(task.job.job.team, task.step.needs, -1)
	}

	/** Counts a recorded run of a job that has not been read for its team; for all teams if its team is unknown. */
	addUnreadRun(run: UnreadRun): void {
		const row = this.getOrCreate(run.backend)
		const key = getUnreadRunKey(run)
		if (row.unreadRuns.has(key)) return
		row.unreadRuns.set(key, run)
		if (run.use) this.addTeamUsage(run.use.team, run.use.needs)
		else this.unknownUses += 1
	}

	/** Counts a recorded run no longer. */
	removeUnreadRun(run: UnreadRun): void {
		if (!this.rows.get(run.backend)?.unreadRuns.delete(getUnreadRunKey(run))) return
		if (run.use) this.addTeamUsage(run.use.team, run.use.needs, -1)
		else this.unknownUses -= 1
	}

	/**
	 * Returns the resources that the team's tasks may use on all backend servers; unlimited while there are runs
	 * that may be of any team.
	 */
	getTeamUsage(team: string): Resources {
		return this.unknownUses > 0 ? unlimitedResources : this.getKnownUsage(team)
	}

	private getKnownUsage(team: string): Resources {
		return this.usageByTeam.get(team) ?? noResources
	}

	private addTeamUsage(team: string, needs: Resources, factor = 1): void {
		this.usageByTeam.set(team, addResources(this.getKnownUsage(team), needs, factor))
	}
}

function createRow(id: BackendId): BackendRow {
	return {
		id,
		machine: '',
		service: '',
		address: '',
		zone: '',
		labels: [],
		capacity: noResources,
		incarnation: 0,
		registered: false,
		draining: false,
		reconciled: false,
		reachable: true,
		contactLoss: undefined,
		cordoned: false,
		evacuated: false,
		warmupLeft: 0,
		avoidedUntil: 0,
		clockOffset: 0,
		clockReadAt: 0,
		leasesExpireBy: 0,
		lastProcessedEnd: 0,
		lastAcknowledgedEnd: 0,
		listsUnreadRuns: false,
		idleSince: 0,
		used: noResources,
		unexpected: noResources,
		tasks: new Map(),
		unreadRuns: new Map(),
	}
}
