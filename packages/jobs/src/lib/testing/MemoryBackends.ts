import type { TimerService } from '@mastichead/core'
import type { BackendAddress } from '../ports/BackendAddress.js'
import type { OrderResult } from '../ports/OrderResult.js'
import type { Renewal } from '../ports/Renewal.js'
import type { RenewalResult } from '../ports/RenewalResult.js'
import type { StartOrder } from '../ports/StartOrder.js'
import type { StopOrder } from '../ports/StopOrder.js'
import { BackendServer } from '../ports/BackendServer.js'
import type { MemoryBackend } from './MemoryBackend.js'

/** Time of one way, and after which a call without an answer is given up, in milliseconds. */
const WAY_TIME = 2
const TIMEOUT = 500
/** How often a waiting listing looks for ends, in milliseconds. */
const LOOK_INTERVAL = 10

/**
 * One instance's way to backend servers in memory, in virtual time.
 *
 * @internal
 */
export class MemoryBackends extends BackendServer {
	/** Backend servers that this instance alone cannot reach. */
	readonly cut = new Set<string>()
	/** Start orders that get no answer are carried out after this long; undefined: answered at once. */
	lateStart: number | undefined
	/** Starts that were sent. */
	starts = 0

	constructor(
		private readonly backends: ReadonlyMap<string, MemoryBackend>,
		private readonly timers: TimerService
	) {
		super()
	}

	override async start(backend: BackendAddress, order: StartOrder): Promise<OrderResult> {
		this.starts += 1
		const delay = this.lateStart
		if (delay !== undefined) {
			this.timers.after(delay, () => this.backends.get(backend.id)?.start(order))
			await this.sleep(TIMEOUT)
			return { kind: 'unknown', detail: 'no answer' }
		}
		return this.call(backend, (target) => target.start(order))
	}

	override stop(backend: BackendAddress, order: StopOrder): Promise<OrderResult> {
		return this.call(backend, (target) => target.stop(order))
	}

	override async renew(backend: BackendAddress, renewal: Renewal): Promise<RenewalResult> {
		await this.sleep(WAY_TIME)
		const target = this.reach(backend)
		if (!target) {
			await this.sleep(renewal.wait + TIMEOUT)
			return { kind: 'unavailable', detail: 'no answer' }
		}
		const first = target.renew(renewal)
		const until = this.timers.now() + renewal.wait
		while (this.timers.now() < until && !target.hasEnds()) await this.sleep(LOOK_INTERVAL)
		if (!this.reach(backend)) return { kind: 'unavailable', detail: 'reset' }
		return first.kind === 'listed' ? target.renew({ ...renewal, leaseEnd: undefined }) : first
	}

	override retire(): void {
		// There are no connections.
	}

	private async call(
		backend: BackendAddress,
		carryOut: (target: MemoryBackend) => OrderResult
	): Promise<OrderResult> {
		await this.sleep(WAY_TIME)
		const target = this.reach(backend)
		if (!target) {
			await this.sleep(TIMEOUT)
			return { kind: 'unknown', detail: 'no answer' }
		}
		const result = carryOut(target)
		await this.sleep(WAY_TIME)
		return result
	}

	private reach(backend: BackendAddress): MemoryBackend | undefined {
		const target = this.backends.get(backend.id)
		return target && !target.cut && !this.cut.has(backend.id) ? target : undefined
	}

	private sleep(duration: number): Promise<void> {
		return new Promise((resolve) => {
			this.timers.after(duration, resolve)
		})
	}
}
