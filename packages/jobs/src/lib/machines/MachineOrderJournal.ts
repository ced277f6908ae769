import { JobRecords } from '../log/JobRecords.js'
import type { OwnerContext } from '../owner/terms/OwnerContext.js'
import type { ProgressWriter } from '../owner/terms/ProgressWriter.js'
import type { MachineOrder } from './MachineOrder.js'

/**
 * Time from an owner's order for a machine in which no other owner may send one for it, in
 * milliseconds.
 */
const TAKEOVER_DELAY = 3_100
/**
 * Time from the record of an order within which it must be durable and sent, or else it is not sent, in
 * milliseconds. The next owner counts on that.
 */
const VALIDITY = 1_000
/** Tolerated difference between the clocks of two instances, in milliseconds. */
const CLOCK_TOLERANCE = 1_000

/**
 * Records orders for machines in the log before they are sent, so that the next owner knows for which
 * machines an order may just have been sent.
 *
 * @public
 */
export class MachineOrderJournal {
	/** Time after its record in which an order may be sent, in milliseconds. */
	static readonly validity = VALIDITY

	private readonly termStartedAt: number

	/**
	 * @param getOrder - returns the latest recorded order for a machine
	 * @param recordsOrders - whether the earlier owners recorded their orders, as far as is known
	 */
	constructor(
		private readonly context: OwnerContext,
		private readonly writer: Pick<ProgressWriter, 'markRecordChanged' | 'whenRecordDurable'>,
		private readonly getOrder: (machine: string) => MachineOrder | undefined,
		private readonly recordsOrders: boolean
	) {
		this.termStartedAt = context.timers.now()
	}

	/** Records orders for machines. Resolves to whether they may be sent now. */
	async record(machines: readonly string[]): Promise<boolean> {
		const durable = await Promise.all(machines.map((machine) => this.recordOrder(machine)))
		return durable.every(Boolean) && this.context.mayOrderMachines()
	}

	/** Whether no earlier owner can have sent an order for the machine recently. */
	isSafeToOrder(machine: string): boolean {
		const { timers, getWallTime, token } = this.context
		if (timers.now() - this.termStartedAt > TAKEOVER_DELAY) return true
		if (!this.recordsOrders) return false
		const order = this.getOrder(machine)
		if (!order || order.token === token) return true
		const age = getWallTime() - order.recordedAt
		return age > TAKEOVER_DELAY + VALIDITY + CLOCK_TOLERANCE
	}

	private recordOrder(machine: string): Promise<boolean> {
		const { timers, token, getWallTime } = this.context
		const key = JobRecords.getMachineKey(machine)
		const recordedAt = getWallTime()
		this.writer.markRecordChanged(key, () =>
			JobRecords.createMachineOrderRecord(machine, { token, recordedAt })
		)
		return new Promise((resolve) => {
			const timeout = timers.after(VALIDITY, () => {
				resolve(false)
			})
			this.writer.whenRecordDurable(key, () => {
				timeout.cancel()
				resolve(true)
			})
		})
	}
}
