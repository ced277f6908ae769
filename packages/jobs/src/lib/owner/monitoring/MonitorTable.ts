import type { BackendId, BackendRow } from '@mastichead/core'
import { BackendMonitor } from './BackendMonitor.js'
import { createListingQueues } from './createListingQueues.js'
import type { MonitorOptions } from './MonitorOptions.js'
import type { OwnerContext } from '../terms/OwnerContext.js'

/**
 * The monitors of all backend servers in a term.
 *
 * @internal
 */
export class MonitorTable {
	private readonly monitors = new Map<BackendId, BackendMonitor>()
	private readonly listingQueues = createListingQueues()

	constructor(
		private readonly context: OwnerContext,
		private readonly options: MonitorOptions
	) {}

	/** Starts the monitor of a backend server unless it runs already. */
	start(row: BackendRow): void {
		if (this.monitors.has(row.id)) return
		// Its leases are only renewed once the log says so.
		if (!this.options.leases.mayRenew(row)) row.reachable = false
		const monitor = new BackendMonitor(this.context, row, {
			...this.options,
			...this.listingQueues,
		})
		this.monitors.set(row.id, monitor)
		monitor.start()
	}

	/** Makes the monitor look at its server now if it is idle. */
	wakeUp(id: BackendId): void {
		this.monitors.get(id)?.wakeUp()
	}

	/** Requests a listing of a backend server's runs immediately. */
	requestListing(id: BackendId): void {
		this.monitors.get(id)?.requestListing()
	}

	remove(id: BackendId): void {
		this.monitors.get(id)?.stop()
		this.monitors.delete(id)
	}

	stop(): void {
		for (const monitor of this.monitors.values()) monitor.stop()
	}
}
