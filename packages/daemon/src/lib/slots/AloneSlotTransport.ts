import { SlotTransport } from './SlotTransport.js'

/**
 * Stands for a daemon without peers, which owns the slots of every pool.
 *
 * @internal
 */
export class AloneSlotTransport extends SlotTransport {
	override getReachable(): readonly string[] {
		return []
	}

	override report(): Promise<undefined> {
		return Promise.resolve(undefined)
	}

	override grant(): Promise<boolean> {
		return Promise.resolve(false)
	}
}
