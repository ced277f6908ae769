import { SlotTransport } from './SlotTransport.js'

/**
 * Transport of a daemon without peers, which owns the slots of every pool.
 *
 * @internal
 */
export class UnconnectedSlotTransport extends SlotTransport {
	override getReachableInstances(): readonly string[] {
		return []
	}

	override sendReport(): Promise<undefined> {
		return Promise.resolve(undefined)
	}

	override sendGrants(): Promise<boolean> {
		return Promise.resolve(false)
	}
}
