import type { BackendId, BackendRow, RunEnding, TaskRow } from '@mastichead/core'
import { BackendHealth } from '@mastichead/core'
import type { OwnerContext } from '../terms/OwnerContext.js'

/**
 * Keeps record of how orders and runs end on each backend server, and reports the servers that get no new
 * tasks for a while because of it.
 *
 * @internal
 */
export class HealthManager {
	private readonly health: BackendHealth

	constructor(private readonly context: Pick<OwnerContext, 'backends' | 'events' | 'timers'>) {
		this.health = new BackendHealth(() => context.backends.all)
	}

	/** Records that a server did not answer a start order or could not accept it. */
	recordOrderFailure(backend: BackendRow, reason: string): void {
		if (this.health.recordOrderFailure(backend, this.context.timers.now()))
			this.reportAvoided(backend, reason)
	}

	/** Records that a server has accepted a start order. */
	recordOrderSuccess({ id }: BackendRow): void {
		this.health.recordOrderSuccess(id)
	}

	/** Records the end of a task's current run. */
	recordRunEnd({ backend: id, job }: TaskRow, ending: RunEnding): void {
		const backend = id === undefined ? undefined : this.context.backends.get(id)
		if (!backend) return
		if (ending === 'done') this.health.recordRunSuccess(backend.id)
		if (ending !== 'failed') return
		if (this.health.recordRunFailure(backend, job.job.id, this.context.timers.now()))
			this.reportAvoided(backend, 'runs fail')
	}

	/** Forgets a server that has left. */
	remove(id: BackendId): void {
		this.health.remove(id)
	}

	private reportAvoided({ id, avoidedUntil }: BackendRow, reason: string): void {
		const duration = avoidedUntil - this.context.timers.now()
		this.context.events.warn('backend-avoided', { backend: id, reason, duration })
	}
}
