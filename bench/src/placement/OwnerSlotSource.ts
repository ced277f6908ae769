import type { BackendServerId, SlotHolder } from '@mastichead/core'
import { SimulatedSlotSource } from './SimulatedSlotSource.js'

/**
 * Slots that the owner of the pool's slots gave.
 *
 * @internal
 */
export class OwnerSlotSource extends SimulatedSlotSource {
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
