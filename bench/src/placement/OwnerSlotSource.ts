import type { BackendServerId, SlotHolder } from '@mastichead/core'
import { SimulatedSlotSource } from './SimulatedSlotSource.js'

/**
 * Reserves slots that the pool's slot owner granted to this entry instance.
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
