import type { UnreadRuns } from '../recovery/UnreadRuns.js'
import type { CrashTracker } from './CrashTracker.js'
import type { LeaseLedger } from '../leases/LeaseLedger.js'
import type { OrderDispatcher } from './OrderDispatcher.js'
import type { ProgressWriter } from '../terms/ProgressWriter.js'
import type { TaskUpdater } from './TaskUpdater.js'

/**
 * The parts of a term that the monitors of its backend servers work with.
 *
 * @internal
 */
export interface MonitorOptions {
	readonly taskUpdater: TaskUpdater
	readonly dispatcher: OrderDispatcher
	readonly writer: ProgressWriter
	readonly leases: LeaseLedger
	readonly crashes: CrashTracker
	readonly unreadRuns: UnreadRuns
	/** Called when tasks or capacity may have become available for placement. */
	readonly replan: () => void
	/** Whether every job that an earlier owner may have started has been read. */
	readonly isIntakeRead: () => boolean
}
