import type { TimerService } from '@mastichead/core'
import type { BackendAddress } from '../ports/BackendAddress.js'
import type { BackendOrderResult } from '../ports/BackendOrderResult.js'
import type { RenewalRequest } from '../ports/RenewalRequest.js'
import type { RenewalResult } from '../ports/RenewalResult.js'
import type { StartOrder } from '../ports/StartOrder.js'
import type { StopOrder } from '../ports/StopOrder.js'
import { ConnectionIncarnations } from '../ConnectionIncarnations.js'
import { BackendServerClient } from '../ports/BackendServerClient.js'
import type { MemoryBackend } from './MemoryBackend.js'

/** Latency of each direction of a call, in milliseconds. */
const ONE_WAY_LATENCY = 2
/** Time after which an unanswered call fails, in milliseconds. */
const CALL_TIMEOUT = 500
/** Interval at which a waiting renewal checks for ends, in milliseconds. */
const POLL_INTERVAL = 10

/**
 * Connects one instance to in-memory backend servers, in virtual time.
 *
 * @internal
 */
export class MemoryBackendServerClient extends BackendServerClient {
	/** Backend servers that this instance cannot reach, while others may. */
	readonly unreachable = new Set<string>()
	/** Backend servers that carry out this instance's calls, whose answers are lost. */
	readonly silent = new Set<string>()
	/** Backend servers to which a call cannot even be created, as an error that no result describes. */
	readonly throwing = new Set<string>()
	/** If set, start orders get no answer and are carried out after this many milliseconds. */
	startDelay: number | undefined
	/** Returns how long the answer to a renewal with this wait is under way, in milliseconds. */
	getAnswerDelay: (wait: number) => number = () => 0
	/** Number of start orders that were sent. */
	startCount = 0
	/** The connection to the process of each backend server, by `ID/INCARNATION`. */
	private readonly connections = new Map<string, object>()
	private readonly connectionIncarnations = new ConnectionIncarnations()

	constructor(
		private readonly backends: ReadonlyMap<string, MemoryBackend>,
		private readonly timers: TimerService,
		/** Timers of calls that are under way. */
		private readonly networkTimers = timers
	) {
		super()
	}

	override async start(backend: BackendAddress, order: StartOrder): Promise<BackendOrderResult> {
		this.startCount += 1
		const delay = this.startDelay
		if (delay !== undefined) {
			// The order is under way even if the instance that sent it is suspended or killed.
			this.networkTimers.after(delay, () => this.backends.get(backend.id)?.start(order))
			await this.sleep(CALL_TIMEOUT)
			return { kind: 'unknown', detail: 'no answer' }
		}
		return this.call(backend, (target) => target.start(order))
	}

	override stop(backend: BackendAddress, order: StopOrder): Promise<BackendOrderResult> {
		return this.call(backend, (target) => target.stop(order))
	}

	override async renew(backend: BackendAddress, renewal: RenewalRequest): Promise<RenewalResult> {
		if (this.throwing.has(backend.id)) throw new Error(`cannot call ${backend.id}`)
		await this.sleep(ONE_WAY_LATENCY)
		const target = this.findReachable(backend)
		if (!target) {
			await this.sleep(renewal.wait + CALL_TIMEOUT)
			return { kind: 'unavailable', detail: 'no answer' }
		}
		const { failure } = target
		if (failure === 'refused' || failure === 'moved') return { kind: failure, detail: failure }
		const { incarnation } = target
		const connection = this.getConnection(target)
		const { connectionIncarnations } = this
		const through = connectionIncarnations.getAcknowledgedThrough(connection, renewal.acknowledged)
		const first = target.renew(renewal, through)
		if (this.silent.has(target.id)) {
			await this.sleep(renewal.wait + CALL_TIMEOUT)
			return { kind: 'unavailable', detail: 'no answer' }
		}
		const deadline = this.timers.now() + renewal.wait
		const isWaiting = (): boolean =>
			this.timers.now() < deadline && !target.hasEnds() && target.incarnation === incarnation
		while (isWaiting()) await this.sleep(POLL_INTERVAL)
		if (!this.findReachable(backend)) return { kind: 'unavailable', detail: 'no answer' }
		if (target.incarnation !== incarnation) return { kind: 'closed', detail: 'reset' }
		if (first.kind !== 'listed') return first
		connectionIncarnations.recordListing(connection, incarnation)
		const result = target.renew({ ...renewal, leaseEnd: undefined }, through)
		const delay = this.getAnswerDelay(renewal.wait)
		if (delay > 0) await this.sleep(delay)
		return result
	}

	override closeIdleConnections(): void {
		// Calls in memory use no connections.
	}

	private async call(
		backend: BackendAddress,
		execute: (target: MemoryBackend) => BackendOrderResult
	): Promise<BackendOrderResult> {
		await this.sleep(ONE_WAY_LATENCY)
		const target = this.findReachable(backend)
		if (!target) {
			await this.sleep(CALL_TIMEOUT)
			return { kind: 'unknown', detail: 'no answer' }
		}
		const { failure } = target
		if (failure === 'refused') return { kind: 'unsent', detail: failure }
		if (failure === 'moved') return { kind: 'moved', detail: failure }
		const result = execute(target)
		if (this.silent.has(target.id)) {
			await this.sleep(CALL_TIMEOUT)
			return { kind: 'unknown', detail: 'no answer' }
		}
		await this.sleep(ONE_WAY_LATENCY)
		return result
	}

	private getConnection({ id, incarnation }: MemoryBackend): object {
		const key = `${id}/${incarnation}`
		const connection = this.connections.get(key) ?? {}
		this.connections.set(key, connection)
		return connection
	}

	private findReachable(backend: BackendAddress): MemoryBackend | undefined {
		const target = this.backends.get(backend.id)
		return target?.isReachable && !this.unreachable.has(backend.id) ? target : undefined
	}

	private sleep(duration: number): Promise<void> {
		return new Promise((resolve) => {
			this.timers.after(duration, resolve)
		})
	}
}
