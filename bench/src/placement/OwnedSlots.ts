import type { BackendServerId, SlotHolder } from '@mastichead/core'
import { SimulatedSlots } from './SimulatedSlots.js'

/**
 * Slots that the owner of the pool's slots gave.
 *
 * @internal
 */
export class OwnedSlots extends SimulatedSlots {
	constructor(readonly holder: SlotHolder) {
		super()
	}

	override reserve(): BackendServerId | undefined {
		return this.holder.reserve('pool', 'team')
	}

	override end(server: BackendServerId, result: 'success' | 'failure' | 'full'): void {
		this.holder.end({ pool: 'pool', team: 'team', server }, result)
	}
}
