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

const TICK_MILLISECONDS = 250
/** Time between two checks of a backend server, as long as the checks of all of them fit in. */
const CHECK_MILLISECONDS = 2000
const MAXIMUM_CHECKS_PER_SECOND = 20
/** Checks in a row that change what is reported. */
const CHECKS_TO_FAIL = 3
const CHECKS_TO_RECOVER = 2

interface Row {
	checkedAt: Milliseconds
	isChecking: boolean
	isFailed: boolean
	/** Checks in a row that said otherwise. */
	streak: number
}

interface Options {
	readonly timers: TimerService
	readonly logger: Logger
	readonly log: MaintenanceLog
	readonly instance: InstanceId
	readonly checker: HealthChecker
}

/**
 * Checks the backend servers that this daemon is an observer of, and reports to the log those
 * whose health changed.
 *
 * @public
 */
export class HealthManager {
	private readonly rows = new Map<BackendServerId, Row>()
	private timer: Subscription | undefined
	private isReporting = false

	constructor(private readonly options: Options) {}

	start(): void {
		this.timer = this.options.timers.every(TICK_MILLISECONDS, () => {
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
		this.forget(new Set(servers.map(({ name }) => name)))
		this.check(servers)
		if (!this.isReporting) void this.report(view)
	}

	private forget(observed: ReadonlySet<BackendServerId>): void {
		for (const name of this.rows.keys()) if (!observed.has(name)) this.rows.delete(name)
	}

	private check(servers: readonly BackendServer[]): void {
		const now = this.options.timers.now()
		const interval = Math.max(
			CHECK_MILLISECONDS,
			(servers.length / MAXIMUM_CHECKS_PER_SECOND) * 1000
		)
		let room = Math.ceil((MAXIMUM_CHECKS_PER_SECOND * TICK_MILLISECONDS) / 1000)
		for (const server of servers) {
			const row = this.getRow(server.name)
			if (room === 0 || row.isChecking || now - row.checkedAt < interval) continue
			room -= 1
			void this.checkOne(server, row, now)
		}
	}

	private async checkOne(server: BackendServer, row: Row, now: Milliseconds): Promise<void> {
		row.checkedAt = now
		row.isChecking = true
		const isWell = await this.options.checker.check(server)
		row.isChecking = false
		row.streak = isWell === row.isFailed ? row.streak + 1 : 0
		if (row.streak < (row.isFailed ? CHECKS_TO_RECOVER : CHECKS_TO_FAIL)) return
		row.isFailed = !row.isFailed
		row.streak = 0
		this.options.logger.info('server-health-changed', {
			server: server.name,
			health: row.isFailed ? 'failed' : 'healthy',
		})
	}

	private getRow(name: BackendServerId): Row {
		const known = this.rows.get(name)
		if (known) return known
		const row: Row = { checkedAt: -Infinity, isChecking: false, isFailed: false, streak: 0 }
		this.rows.set(name, row)
		return row
	}

	/** Reports where the log says otherwise of this daemon, or holds a verdict that has changed. */
	private async report(view: HealthView): Promise<void> {
		const { log, instance } = this.options
		const failed: BackendServerId[] = []
		const healthy: BackendServerId[] = []
		let isOutdated = false
		for (const [name, row] of this.rows) {
			const placement = log.state.placements.get(name)
			const isReported = placement?.reports?.includes(instance) ?? false
			if (row.isFailed && !isReported) failed.push(name)
			if (!row.isFailed && isReported) healthy.push(name)
			const verdict = view.getHealth(name) === 'failed' ? 'failed' : 'healthy'
			if (placement && placement.health !== verdict) isOutdated = true
		}
		if (failed.length + healthy.length === 0 && !isOutdated) return
		this.isReporting = true
		await log.propose({ kind: 'health', id: randomUUID(), instance, failed, healthy })
		this.isReporting = false
	}
}
