import {
	type BackendServer,
	type BackendServerId,
	HealthView,
	type InstanceId,
	type Milliseconds,
	type Subscription,
	type TimerService,
} from '@mastichead/core'
import { randomUUID } from 'node:crypto'
import type { Logger } from 'winston'
import type { HealthChecker } from './HealthChecker.js'
import type { MaintenanceLog } from './MaintenanceLog.js'

const TICK_INTERVAL_MILLISECONDS = 250
/** Interval between checks of a backend server; longer if the rate limit requires it. */
const CHECK_INTERVAL_MILLISECONDS = 2000
/** Limit on the checks that this daemon starts, across all backend servers. */
const MAXIMUM_CHECKS_PER_SECOND = 20
/** Consecutive contrary checks after which the reported health changes. */
const CHECKS_TO_FAIL = 3
const CHECKS_TO_RECOVER = 2

interface CheckState {
	checkedAt: Milliseconds
	isChecking: boolean
	isFailed: boolean
	/** Consecutive checks that contradict `isFailed`. */
	contraryResults: number
}

interface Options {
	readonly timers: TimerService
	readonly logger: Logger
	readonly log: MaintenanceLog
	readonly instance: InstanceId
	readonly checker: HealthChecker
}

/**
 * Checks the health of the backend servers that this daemon observes, and proposes changes to the
 * log.
 *
 * @public
 */
export class HealthManager {
	private readonly checks = new Map<BackendServerId, CheckState>()
	private timer: Subscription | undefined
	private isReporting = false

	constructor(private readonly options: Options) {}

	start(): void {
		this.timer = this.options.timers.every(TICK_INTERVAL_MILLISECONDS, () => {
			this.tick()
		})
	}

	stop(): void {
		this.timer?.cancel()
		this.options.checker.close()
	}

	private tick(): void {
		const { log, instance } = this.options
		if (!log.isReady || !log.state.members.has(instance)) return
		const view = new HealthView(log.state)
		const servers = [...log.state.backendServers.values()].filter((server) =>
			view.getObservers(server.name).has(instance)
		)
		this.removeUnobserved(new Set(servers.map(({ name }) => name)))
		this.startDueChecks(servers)
		if (!this.isReporting) void this.reportChanges(view)
	}

	private removeUnobserved(observed: ReadonlySet<BackendServerId>): void {
		for (const name of this.checks.keys()) if (!observed.has(name)) this.checks.delete(name)
	}

	private startDueChecks(servers: readonly BackendServer[]): void {
		const now = this.options.timers.now()
		const interval = Math.max(
			CHECK_INTERVAL_MILLISECONDS,
			(servers.length / MAXIMUM_CHECKS_PER_SECOND) * 1000
		)
		let remainingChecks = Math.ceil((MAXIMUM_CHECKS_PER_SECOND * TICK_INTERVAL_MILLISECONDS) / 1000)
		for (const server of servers) {
			const state = this.getCheckState(server.name)
			if (remainingChecks === 0 || state.isChecking || now - state.checkedAt < interval) continue
			remainingChecks -= 1
			void this.checkServer(server, state, now)
		}
	}

	private async checkServer(
		server: BackendServer,
		state: CheckState,
		now: Milliseconds
	): Promise<void> {
		state.checkedAt = now
		state.isChecking = true
		const isHealthy = await this.options.checker.check(server)
		state.isChecking = false
		state.contraryResults = isHealthy === state.isFailed ? state.contraryResults + 1 : 0
		if (state.contraryResults < (state.isFailed ? CHECKS_TO_RECOVER : CHECKS_TO_FAIL)) return
		state.isFailed = !state.isFailed
		state.contraryResults = 0
		this.options.logger.info('server-health-changed', {
			server: server.name,
			health: state.isFailed ? 'failed' : 'healthy',
		})
	}

	private getCheckState(name: BackendServerId): CheckState {
		const existing = this.checks.get(name)
		if (existing) return existing
		const state: CheckState = {
			checkedAt: -Infinity,
			isChecking: false,
			isFailed: false,
			contraryResults: 0,
		}
		this.checks.set(name, state)
		return state
	}

	/** Proposes a report if the log lacks a result of this daemon or holds an outdated verdict. */
	private async reportChanges(view: HealthView): Promise<void> {
		const { log, instance } = this.options
		const failed: BackendServerId[] = []
		const healthy: BackendServerId[] = []
		let isOutdated = false
		for (const [name, state] of this.checks) {
			const placement = log.state.placements.get(name)
			const isReported = placement?.reports?.includes(instance) ?? false
			if (state.isFailed && !isReported) failed.push(name)
			if (!state.isFailed && isReported) healthy.push(name)
			const verdict = view.getHealth(name) === 'failed' ? 'failed' : 'healthy'
			if (placement && placement.health !== verdict) isOutdated = true
		}
		if (failed.length + healthy.length === 0 && !isOutdated) return
		this.isReporting = true
		await log.propose({ kind: 'health', id: randomUUID(), instance, failed, healthy })
		this.isReporting = false
	}
}
