import type { BackendRow } from '../BackendRow.js'
import { getBackendAvailability } from '../health/getBackendAvailability.js'

/**
 * The usable backend servers of each service during one plan, and those of them that short tasks may use.
 *
 * @internal
 */
export class UsableBackends {
	private readonly all = new Map<string, BackendRow[]>()
	private readonly limited = new Map<string, readonly BackendRow[]>()
	private readonly limitedToLate = new Map<string, readonly BackendRow[]>()

	/**
	 * @param now - time on the owner's monotonic clock, in milliseconds
	 * @param getMachineLimit - returns how many servers of a service tasks of late jobs, or all short tasks,
	 * may use; undefined means no limit
	 */
	constructor(
		backends: Iterable<BackendRow>,
		now: number,
		private readonly getMachineLimit: (service: string, isLate: boolean) => number | undefined
	) {
		for (const backend of backends) {
			if (getBackendAvailability(backend, now) !== 'usable') continue
			const rows = this.all.get(backend.service)
			if (rows) rows.push(backend)
			else this.all.set(backend.service, [backend])
		}
	}

	get services(): Iterable<string> {
		return this.all.keys()
	}

	/** Returns all usable servers of a service. */
	get(service: string): readonly BackendRow[] {
		return this.all.get(service) ?? []
	}

	/**
	 * Returns the servers of a service that tasks which end by themselves may use.
	 *
	 * @param isLate - whether they are of jobs that can no longer finish on time
	 */
	getForShortTasks(service: string, isLate: boolean): readonly BackendRow[] {
		const cache = isLate ? this.limitedToLate : this.limited
		const known = cache.get(service)
		if (known) return known
		const limit = this.getMachineLimit(service, isLate)
		const selected = selectFullest(this.get(service), limit)
		cache.set(service, selected)
		return selected
	}
}

/** Selects the backend servers with the most cpu in use, so that the others can drain. */
function selectFullest(
	backends: readonly BackendRow[],
	limit: number | undefined
): readonly BackendRow[] {
	if (limit === undefined || limit >= backends.length) return backends
	return backends.toSorted((a, b) => b.used.cpu - a.used.cpu).slice(0, limit)
}
