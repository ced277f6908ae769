import {
	AllowanceSource,
	type BackendServerId,
	type PoolId,
	Scheduler,
	type SlotSource,
	type SharePolicy,
	type RequestStart,
	type TeamId,
	type TeamLoad,
	type TimerService,
	type WaitingRequest,
} from '@mastichead/core'
import type { SimulatedBackendPool } from './SimulatedBackendPool.js'

const POOL: PoolId = 'pool'
/** One-way latency to a backend server, in milliseconds. */
const NETWORK_LATENCY = 1.5

/** Grants every allowance, because this bench does not measure limits. */
class UnlimitedAllowances extends AllowanceSource<true> {
	override tryAcquire(): true {
		return true
	}

	override release(): void {
		// There is no count to update.
	}
}

interface Options {
	readonly timers: TimerService
	readonly backendPool: SimulatedBackendPool
	readonly policy: SharePolicy
	readonly slots: SlotSource
	readonly weights: ReadonlyMap<TeamId, number>
	readonly getPeerLoad: () => ReadonlyMap<TeamId, TeamLoad>
	/** Draws the run time of a request, in milliseconds. */
	readonly drawRunTime: () => number
	readonly onStart: (request: WaitingRequest) => void
	readonly onEnd: (server: BackendServerId, team: TeamId, result: 'success' | 'full') => void
}

/**
 * Entry instance of the share bench: the real scheduler in front of simulated backend servers.
 *
 * @internal
 */
export class SimulatedDaemon {
	readonly scheduler: Scheduler<true>
	private lastId = 0

	constructor(private readonly options: Options) {
		const { timers, policy, slots, weights, getPeerLoad } = options
		this.scheduler = new Scheduler<true>({
			timers,
			policy,
			slots,
			allowances: new UnlimitedAllowances(),
			getWeights: () => weights,
			getPeerLoad,
			onStart: (start) => {
				this.start(start)
			},
			onExpired: () => undefined,
		})
	}

	submit(team: TeamId): void {
		this.scheduler.submit({
			id: ++this.lastId,
			queue: 'queue',
			team,
			pool: POOL,
			urgency: 'ordinary',
			enqueuedAt: this.options.timers.now(),
			startDeadline: Infinity,
		})
	}

	private start({ request, server }: RequestStart<true>): void {
		const { timers, backendPool, drawRunTime } = this.options
		timers.after(NETWORK_LATENCY, () => {
			if (!backendPool.tryStart(Number(server), request.team)) {
				this.runAfterLatency(() => {
					this.refuse(request, server)
				})
				return
			}
			this.options.onStart(request)
			timers.after(drawRunTime(), () => {
				backendPool.end(Number(server), request.team)
				this.runAfterLatency(() => {
					this.options.onEnd(server, request.team, 'success')
					this.scheduler.finish(request)
				})
			})
		})
	}

	private refuse(request: WaitingRequest, server: BackendServerId): void {
		this.options.onEnd(server, request.team, 'full')
		this.scheduler.finish(request)
		this.scheduler.requeue(request)
	}

	private runAfterLatency(action: () => void): void {
		this.options.timers.after(NETWORK_LATENCY, action)
	}
}
