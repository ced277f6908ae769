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
import type { SlotTruth } from './SlotTruth.js'

const POOL: PoolId = 'pool'
const NETWORK_MILLISECONDS = 1.5

/** Limits are not what this bench is about, so that every start finds allowance. */
class Unlimited extends AllowanceSource<true> {
	override tryAcquire(): true {
		return true
	}

	override release(): void {
		// Nothing to give back.
	}
}

interface Options {
	readonly timers: TimerService
	readonly truth: SlotTruth
	readonly policy: SharePolicy
	readonly servers: SlotSource
	readonly shares: ReadonlyMap<TeamId, number>
	readonly getPeerLoad: () => ReadonlyMap<TeamId, TeamLoad>
	readonly drawRun: () => number
	readonly onStarted: (request: WaitingRequest) => void
	readonly onEnd: (server: BackendServerId, team: TeamId, result: 'success' | 'full') => void
}

/**
 * An entry instance of the share bench: the real scheduler, with requests that take slots.
 *
 * @internal
 */
export class ShareDaemon {
	readonly scheduler: Scheduler<true>
	private lastId = 0

	constructor(private readonly options: Options) {
		const { timers, policy, servers, shares, getPeerLoad } = options
		this.scheduler = new Scheduler<true>({
			timers,
			policy,
			slots: servers,
			allowances: new Unlimited(),
			getWeights: () => shares,
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
		const { timers, truth, drawRun } = this.options
		timers.after(NETWORK_MILLISECONDS, () => {
			if (!truth.start(Number(server), request.team)) {
				this.later(() => {
					this.refuse(request, server)
				})
				return
			}
			this.options.onStarted(request)
			timers.after(drawRun(), () => {
				truth.end(Number(server), request.team)
				this.later(() => {
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

	private later(act: () => void): void {
		this.options.timers.after(NETWORK_MILLISECONDS, act)
	}
}
