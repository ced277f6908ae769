import type { TimerService } from '@mastichead/core'
import type { BackendAddress } from '../ports/BackendAddress.js'
import type { OrderResult } from '../ports/OrderResult.js'
import type { RenewalRequest } from '../ports/RenewalRequest.js'
import type { RenewalResult } from '../ports/RenewalResult.js'
import type { StartOrder } from '../ports/StartOrder.js'
import type { StopOrder } from '../ports/StopOrder.js'
import { BackendServerClient } from '../ports/BackendServerClient.js'
import type { MemoryBackend } from './MemoryBackend.js'

/** Time of one way, and after which a call without an answer is given up, in milliseconds. */
const ONE_WAY_LATENCY = 2
const CALL_TIMEOUT = 500
/** How often a waiting listing looks for ends, in milliseconds. */
const POLL_INTERVAL = 10

/**
 * One instance's way to backend servers in memory, in virtual time.
 *
 * @internal
 */
export class MemoryBackendServerClient extends BackendServerClient {
	/** Backend servers that this instance alone cannot reach. */
	readonly unreachable = new Set<string>()
	/** Start orders that get no answer are carried out after this long; undefined: answered at once. */
	startDelay: number | undefined
	/** Starts that were sent. */
	startCount = 0

	constructor(
		private readonly backends: ReadonlyMap<string, MemoryBackend>,
		private readonly timers: TimerService
	) {
		super()
	}

	override async start(backend: BackendAddress, order: StartOrder): Promise<OrderResult> {
		this.startCount += 1
		const delay = this.startDelay
		if (delay !== undefined) {
			this.timers.after(delay, () => this.backends.get(backend.id)?.start(order))
			await this.sleep(CALL_TIMEOUT)
			return { kind: 'unknown', detail: 'no answer' }
		}
		return this.call(backend, (target) => target.start(order))
	}

	override stop(backend: BackendAddress, order: StopOrder): Promise<OrderResult> {
		return this.call(backend, (target) => target.stop(order))
	}

	override async renew(backend: BackendAddress, renewal: RenewalRequest): Promise<RenewalResult> {
		await this.sleep(ONE_WAY_LATENCY)
		const target = this.findReachable(backend)
		if (!target) {
			await this.sleep(renewal.wait + CALL_TIMEOUT)
			return { kind: 'unavailable', detail: 'no answer' }
		}
		const first = target.renew(renewal)
		const until = this.timers.now() + renewal.wait
		while (this.timers.now() < until && !target.hasEnds()) await this.sleep(POLL_INTERVAL)
		if (!this.findReachable(backend)) return { kind: 'unavailable', detail: 'reset' }
		return first.kind === 'listed' ? target.renew({ ...renewal, leaseEnd: undefined }) : first
	}

	override closeIdleConnections(): void {
		// There are no connections.
	}

	private async call(
		backend: BackendAddress,
		execute: (target: MemoryBackend) => OrderResult
	): Promise<OrderResult> {
		await this.sleep(ONE_WAY_LATENCY)
		const target = this.findReachable(backend)
		if (!target) {
			await this.sleep(CALL_TIMEOUT)
			return { kind: 'unknown', detail: 'no answer' }
		}
		const result = execute(target)
		await this.sleep(ONE_WAY_LATENCY)
		return result
	}

	private findReachable(backend: BackendAddress): MemoryBackend | undefined {
		const target = this.backends.get(backend.id)
		return target && !target.disconnected && !this.unreachable.has(backend.id) ? target : undefined
	}

	private sleep(duration: number): Promise<void> {
		return new Promise((resolve) => {
			this.timers.after(duration, resolve)
		})
	}
}
