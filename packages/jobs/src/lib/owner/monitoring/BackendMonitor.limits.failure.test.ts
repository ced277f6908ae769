import { VirtualTimerService, createTestConfiguration } from '@mastichead/core'
import { expect, it } from 'vitest'
import { BackendServerClient } from '../../ports/BackendServerClient.js'
import type { BackendAddress } from '../../ports/BackendAddress.js'
import type { BackendOrderResult } from '../../ports/BackendOrderResult.js'
import type { RenewalRequest } from '../../ports/RenewalRequest.js'
import type { RenewalResult } from '../../ports/RenewalResult.js'
import { createTestContext } from '../../testing/createTestContext.js'
import { BackendMonitor } from './BackendMonitor.js'
import { JobReplica } from '../../log/JobReplica.js'
import { CrashTracker } from './CrashTracker.js'
import { createListingQueues } from './createListingQueues.js'
import { LeaseLedger } from '../leases/LeaseLedger.js'
import { UnreadRuns } from '../recovery/UnreadRuns.js'
import type { OrderDispatcher } from './OrderDispatcher.js'
import type { ProgressWriter } from '../terms/ProgressWriter.js'
import type { TaskUpdater } from './TaskUpdater.js'

const BACKENDS = 230
/** A listing of 150 ends, and one without. */
const FIRST_LISTING_BYTES = 9_000
const LISTING_BYTES = 100
/** A link of 10 Mbit/s. */
const LINK_BYTES_PER_MILLISECOND = 1_250
/** Timeout of a listing in `HttpBackendServerClient`, in addition to its wait, in milliseconds. */
const TIMEOUT = 400

/** Backend servers behind one link that all listings share; a listing that is late is lost. */
class NarrowClient extends BackendServerClient {
	private readonly transfers = new Set<{ remaining: number; finish: () => void }>()
	private readonly listed = new Set<string>()

	constructor(private readonly timers: VirtualTimerService) {
		super()
		timers.every(1, () => {
			const share = LINK_BYTES_PER_MILLISECOND / this.transfers.size
			for (const transfer of [...this.transfers]) {
				transfer.remaining -= share
				if (transfer.remaining <= 0) transfer.finish()
			}
		})
	}

	override start(): Promise<BackendOrderResult> {
		return Promise.resolve({ kind: 'unsent', detail: 'not used' })
	}

	override stop(): Promise<BackendOrderResult> {
		return Promise.resolve({ kind: 'unsent', detail: 'not used' })
	}

	override async renew(backend: BackendAddress, renewal: RenewalRequest): Promise<RenewalResult> {
		const bytes = this.listed.has(backend.id) ? LISTING_BYTES : FIRST_LISTING_BYTES
		const isComplete = await this.receive(bytes, renewal.wait + TIMEOUT)
		if (!isComplete) return { kind: 'unavailable', detail: 'no answer' }
		this.listed.add(backend.id)
		const runs = { running: [], isComplete: true, ended: [] }
		return { kind: 'listed', listing: { clock: this.timers.now(), incarnation: 1, ...runs } }
	}

	override closeIdleConnections(): void {
		// Not used.
	}

	private receive(bytes: number, timeout: number): Promise<boolean> {
		return new Promise((resolve) => {
			const transfer = {
				remaining: bytes,
				finish: () => {
					end(true)
				},
			}
			const end = (isComplete: boolean): void => {
				this.transfers.delete(transfer)
				timer.cancel()
				resolve(isComplete)
			}
			const timer = this.timers.after(timeout, () => {
				end(false)
			})
			this.transfers.add(transfer)
		})
	}
}

// Guards against an owner behind a narrow link that asks all servers for their ends at the same time,
// gets none of the lists in time, and starts over for ever.
it('reads the ends of all backend servers over a narrow link when a term starts', async () => {
	const timers = new VirtualTimerService()
	const configuration = createTestConfiguration()
	const context = {
		...createTestContext(timers),
		backendClient: new NarrowClient(timers),
		// Only servers of configured services are listed.
		getConfiguration: () => configuration,
	}
	const ignore = (): void => undefined
	const writer = { whenDurable: ignore } as unknown as ProgressWriter
	const leases = new LeaseLedger(context, writer, new JobReplica(context.events, timers))
	const options = {
		taskUpdater: { endLostRuns: ignore } as unknown as TaskUpdater,
		dispatcher: {} as unknown as OrderDispatcher,
		writer,
		leases,
		unreadRuns: new UnreadRuns(context, leases, ignore),
		crashes: new CrashTracker(context, {
			getMachineOrder: () => undefined,
			onProcessEnd: ignore,
			updateJob: ignore,
		}),
		...createListingQueues(),
		replan: ignore,
		isIntakeRead: () => true,
	}
	const rows = Array.from({ length: BACKENDS }, (_, number) => {
		const row = context.backends.getOrCreate(`b${number}`)
		Object.assign(row, { registered: true, address: `10.0.0.1:${number}`, service: 'desk' })
		return row
	})
	for (const row of rows) new BackendMonitor(context, row, options).start()
	const lost = new Set<string>()
	for (let step = 0; step < 15_000; step += 1) {
		timers.advance(1)
		await new Promise((resolve) => setImmediate(resolve))
		for (const { id, reachable } of rows) if (!reachable) lost.add(id)
	}
	expect([...lost]).toEqual([])
	expect(rows.filter(({ reconciled }) => !reconciled)).toHaveLength(0)
})
