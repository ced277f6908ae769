import type { MaintenanceWave } from '../ports/MaintenanceWave.js'

/**
 * State of a maintenance wave at the owner.
 *
 * @public
 */
export interface WaveRow {
	readonly key: string
	readonly wave: MaintenanceWave
	/** Machines whose maintenance was ordered at least once, by this owner or an earlier one. */
	readonly ordered: Set<string>
	/**
	 * Machines for which an order may have been carried out without an answer, so that a repeated one may
	 * change nothing, with the process that ran on the machine at the first such order; undefined if it is
	 * not known, as for the orders of earlier owners.
	 */
	readonly unansweredOrders: Map<string, string | undefined>
	/** Machines whose maintenance has started, or that no longer exist. */
	readonly done: Set<string>
	/** Machines that were ordered down and are not up again, with the instant of the order. */
	readonly down: Map<string, number>
	/** Machines that are being evacuated, with the instant at which that began. */
	readonly evacuating: Map<string, number>
	/**
	 * Machines that an earlier owner was evacuating and this one is not yet, with the beginning in
	 * milliseconds since 1970.
	 */
	readonly earlierEvacuations: Map<string, number>
	/**
	 * Machines that the platform does not list, with the instant since which they have been missing, the
	 * time under earlier owners included.
	 */
	readonly missingSince: Map<string, number>
	/** Time for which lists have lacked these machines, as recorded for the next owner, in milliseconds. */
	readonly missingTimes: Map<string, number>
	/** When an owner first saw the wave, in milliseconds since 1970. */
	readonly receivedAt: number
	/** State that was reported to the operator. */
	reported: 'nothing' | 'running' | 'completed'
}
