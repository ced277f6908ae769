import type { BackendRow } from '@mastichead/core'
import { VirtualTimerService } from '@mastichead/core'
import { JobRecords } from '../log/JobRecords.js'
import { JobReplica } from '../log/JobReplica.js'
import type { LeaseRecord } from '../log/LeaseRecord.js'
import { StreamFollower } from '../log/StreamFollower.js'
import { LeaseLedger } from '../owner/leases/LeaseLedger.js'
import { ProgressWriter } from '../owner/terms/ProgressWriter.js'
import { createTestContext } from './createTestContext.js'
import { MemoryLog } from './MemoryLog.js'
import { MemoryStore } from './MemoryStore.js'

const TOKEN = 1_000_000

interface TestLedger {
	readonly ledger: LeaseLedger
	readonly replica: JobReplica
	readonly timers: VirtualTimerService
	readonly store: MemoryStore
	/** A backend server of the ledger's term. */
	readonly row: BackendRow
	/** Applies a record of an earlier owner about the server's leases. */
	readonly applyLease: (lease: LeaseRecord) => void
	/** Advances the virtual clock by `duration` milliseconds. */
	readonly advance: (duration: number) => Promise<void>
}

/**
 * Creates the lease ledger of a term over a log in virtual time.
 *
 * @internal
 */
export function createTestLedger(): TestLedger {
	const timers = new VirtualTimerService()
	const context = { ...createTestContext(timers), token: TOKEN }
	const store = new MemoryStore()
	const log = new MemoryLog(store, timers)
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
	const ledger = new LeaseLedger(context, new ProgressWriter(context, log, follower), replica)
	const row = context.backends.getOrCreate('b1')
	return {
		ledger,
		replica,
		timers,
		store,
		row,
		applyLease: (lease) => {
			replica.applyProgress({ ...JobRecords.createLeaseRecord(row.id, lease), offset: 0 })
		},
		advance: async (duration) => {
			for (let step = 0; step < duration; step += 1) {
				timers.advance(1)
				await new Promise((resolve) => setImmediate(resolve))
			}
		},
	}
}
