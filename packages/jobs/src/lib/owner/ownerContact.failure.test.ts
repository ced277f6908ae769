import { VirtualTimerService } from '@mastichead/core'
import { expect, it } from 'vitest'
import { JobRecords } from '../log/JobRecords.js'
import { JobReplica } from '../log/JobReplica.js'
import { StreamFollower } from '../log/StreamFollower.js'
import { createTestContext } from '../testing/createTestContext.js'
import { MemoryLog } from '../testing/MemoryLog.js'
import { MemoryStore } from '../testing/MemoryStore.js'
import { LeaseTiming } from './leases/LeaseTiming.js'
import { ProgressWriter } from './terms/ProgressWriter.js'

const EARLIER_TOKEN = 1_000
const TOKEN = 2_000
const NEXT_TOKEN = 3_000
/** Time from the latest heartbeat to the record of an earlier term's end, in milliseconds. */
const AFTER_HEARTBEAT = 900

// Guards against a task that runs twice: an owner counts its permission to renew leases from a record in which the next
// owner sees no sign of it, and renews them for longer than the next one expects.
it('an owner counts its contact from no record in which others see no sign of it', async () => {
	const timers = new VirtualTimerService()
	const context = { ...createTestContext(timers), token: TOKEN }
	const log = new MemoryLog(new MemoryStore(), timers)
	const replica = new JobReplica(context.events, timers)
	const follower = new StreamFollower(
		'progress',
		log,
		timers,
		context.events,
		(entry) => {
			replica.applyProgress(entry)
		},
		{ maximumWait: 0, getPollDelay: () => 0 }
	)
	const writer = new ProgressWriter(context, log, follower)
	const advance = async (duration: number) => {
		for (let step = 0; step < duration; step += 1) {
			timers.advance(1)
			await new Promise((resolve) => setImmediate(resolve))
		}
	}
	const key = JobRecords.getTermKey(TOKEN)
	writer.markRecordChanged(key, () => JobRecords.createTermRecord(TOKEN, 'i1'))
	await advance(AFTER_HEARTBEAT)
	const earlierKey = JobRecords.getTermKey(EARLIER_TOKEN)
	writer.markRecordChanged(earlierKey, () => JobRecords.createTermTombstone(EARLIER_TOKEN))
	await advance(20)
	const renewsUntil = timers.now() - writer.silence + LeaseTiming.maximumOwnerSilence
	expect(replica.terms.getLatestOrder(NEXT_TOKEN)).toBeGreaterThanOrEqual(renewsUntil)
})
