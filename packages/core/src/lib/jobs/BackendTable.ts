import type { BackendId } from './BackendId.js'
import type { BackendRow } from './BackendRow.js'
import type { Resources } from './Resources.js'
import type { TaskRow } from './TaskRow.js'
import { addResources } from './addResources.js'
import { getReservedResources } from './placement/getReservedResources.js'
import { noResources } from './noResources.js'

/**
 * Tracks the backend servers, the tasks placed on each, and the resources that each team uses.
 *
 * @public
 */
export class BackendTable {
	private readonly rows = new Map<BackendId, BackendRow>()
	private readonly usageByTeam = new Map<string, Resources>()

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
		const { team } = task.job.job
		this.usageByTeam.set(team, addResources(this.getTeamUsage(team), task.step.needs))
	}

	/** Removes a task from its backend server and releases its resources. */
	release(task: TaskRow): void {
		const row = task.backend === undefined ? undefined : this.rows.get(task.backend)
		task.backend = undefined
		if (!row?.tasks.delete(task.id)) return
		row.used = addResources(row.used, getReservedResources(task.step), -1)
		const { team } = task.job.job
		this.usageByTeam.set(team, addResources(this.getTeamUsage(team), task.step.needs, -1))
	}

	/** Returns the resources that the team's placed tasks use on all backend servers. */
	getTeamUsage(team: string): Resources {
		return this.usageByTeam.get(team) ?? noResources
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
		hasUnreadRuns: false,
		idleSince: 0,
		used: noResources,
		unexpected: noResources,
		tasks: new Map(),
	}
}
