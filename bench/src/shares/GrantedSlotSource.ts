import {
	type BackendServerId,
	type PoolId,
	SlotSource,
	type SlotHolder,
	type TeamId,
} from '@mastichead/core'

/**
 * Reserves slots that the pool's slot owner granted to this daemon.
 *
 * @internal
 */
export class GrantedSlotSource extends SlotSource {
	constructor(
		readonly holder: SlotHolder,
		private readonly capacity: number
	) {
		super()
	}

	override getCapacity(): number {
		return this.capacity
	}

	override reserve(pool: PoolId, team: TeamId): BackendServerId | undefined {
		return this.holder.reserve(pool, team)
	}

	override release(server: BackendServerId, pool: PoolId, team: TeamId): void {
		this.holder.end({ pool, team, server }, 'unused')
	}
}
