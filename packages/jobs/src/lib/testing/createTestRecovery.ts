import type { VirtualTimerService } from '@mastichead/core'
import { LearnedRunTimes } from '@mastichead/core'
import { JobReplica } from '../log/JobReplica.js'
import { StreamFollower } from '../log/StreamFollower.js'
import { LeaseLedger } from '../owner/leases/LeaseLedger.js'
import { ProgressWriter } from '../owner/terms/ProgressWriter.js'
import { HealthManager } from '../owner/monitoring/HealthManager.js'
import { TaskUpdater } from '../owner/monitoring/TaskUpdater.js'
import { TermRecovery } from '../owner/recovery/TermRecovery.js'
import { UnreadRuns } from '../owner/recovery/UnreadRuns.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import { createTestContext } from './createTestContext.js'

/**
 * Creates the recovery of a term that does not end, over a log in virtual time.
 *
 * @internal
 */
export function createTestRecovery(timers: VirtualTimerService, log: MetadataLog) {
	const context = createTestContext(timers)
	const progress = new StreamFollower('progress', log, timers, context.events, () => undefined, {
		maximumWait: 0,
		getPollDelay: () => 0,
	})
	const writer = new ProgressWriter(context, log, progress)
	const health = new HealthManager(context)
	const ignore = (): void => undefined
	const taskUpdater = new TaskUpdater(
		context,
		writer,
		ignore,
		ignore,
		health,
		new LearnedRunTimes()
	)
	const leases = new LeaseLedger(context, writer, new JobReplica(context.events, timers))
	const isEnded = (): boolean => false
	const crashes = { restore: ignore }
	const unreadRuns = new UnreadRuns(context, leases, ignore)
	const options = {
		log,
		progress,
		taskUpdater,
		leases,
		crashes,
		unreadRuns,
		onInherited: ignore,
		isEnded,
	}
	const recovery = new TermRecovery(context, options)
	return { recovery, context }
}
