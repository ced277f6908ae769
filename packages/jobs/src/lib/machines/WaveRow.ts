import type { MaintenanceWave } from '../ports/MaintenanceWave.js'

/**
 * State of a wave with the owner.
 *
 * @public
 */
export interface WaveRow {
	readonly key: string
	readonly wave: MaintenanceWave
	/** Machines whose maintenance was ordered at least once, also by earlier owners. */
	readonly ordered: Set<string>
	/** Machines that earlier owners may have ordered down: an order for them may change nothing. */
	readonly orderedByEarlierOwners: ReadonlySet<string>
	/** Machines whose maintenance has begun, or that are gone. */
	readonly done: Set<string>
	/** Machines that were ordered down and have not come back, with the instant of the order. */
	readonly down: Map<string, number>
	/** Machines that are being emptied, with the instant since when. */
	readonly closing: Map<string, number>
	/** When an owner first knew of the wave, in milliseconds since 1970. */
	readonly receivedAt: number
	reported: 'nothing' | 'running' | 'completed'
}
