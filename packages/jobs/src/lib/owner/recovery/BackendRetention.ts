import type { BackendRow } from '@mastichead/core'
import { hasRuns } from '@mastichead/core'
import type { JobReplica } from '../../log/JobReplica.js'
import type { LeaseLedger } from '../leases/LeaseLedger.js'
import type { BackendRegistry } from '../monitoring/BackendRegistry.js'
import type { CrashTracker } from '../monitoring/CrashTracker.js'
import type { HealthManager } from '../monitoring/HealthManager.js'
import type { MonitorTable } from '../monitoring/MonitorTable.js'
import type { OwnerContext } from '../terms/OwnerContext.js'
import type { TermRecords } from '../terms/TermRecords.js'

/**
 * Removes the backend servers that have left and run nothing.
 *
 * @internal
 */
export class BackendRetention {
	constructor(
		private readonly context: Pick<OwnerContext, 'backends' | 'backendClient'>,
		private readonly options: {
			readonly registry: BackendRegistry
			readonly replica: JobReplica
			readonly records: TermRecords
			readonly monitors: MonitorTable
			readonly health: HealthManager
			readonly crashes: CrashTracker
			readonly leases: LeaseLedger
		}
	) {}

	/** Removes the servers that have left, and the records of leases on servers that are not known. */
	dropDeparted(): void {
		const { backends } = this.context
		const { registry, leases } = this.options
		for (const row of [...backends.all])
			if (!row.registered && !hasRuns(row) && !registry.get(row.id)) this.drop(row)
		leases.dropUnused((id) => backends.get(id) !== undefined)
	}

	private drop(row: BackendRow): void {
		const { id } = row
		const { replica, records, monitors, health, crashes } = this.options
		monitors.remove(id)
		this.context.backends.remove(id)
		if (replica.backends.has(id)) records.recordBackend(id)
		health.remove(id)
		crashes.remove(id)
		this.context.backendClient.closeIdleConnections(row)
	}
}
