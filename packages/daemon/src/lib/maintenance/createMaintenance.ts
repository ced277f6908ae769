import {
	type InstanceId,
	MovePlanner,
	type Scheduler,
	type TimerService,
	WavePlanner,
} from '@mastichead/core'
import type { Logger } from 'winston'
import type { LogManager } from '../log/LogManager.js'
import type { MetricsManager } from '../metrics/MetricsManager.js'
import type { PeerManager } from '../peers/PeerManager.js'
import type { SlotManager } from '../slots/SlotManager.js'
import type { Settings } from '../settings/Settings.js'
import { createMovePolicy } from './createMovePolicy.js'
import { LocalMaintenanceMonitor } from './LocalMaintenanceMonitor.js'
import { getPoolDemands } from './getPoolDemands.js'
import { HealthManager } from './HealthManager.js'
import { HttpHealthChecker } from './HttpHealthChecker.js'
import { HttpMaintenancePlatform } from './HttpMaintenancePlatform.js'
import { MaintenanceManager } from './MaintenanceManager.js'

interface Options {
	readonly settings: Settings
	readonly logger: Logger
	readonly timers: TimerService
	readonly log: LogManager
	readonly instance: InstanceId
	readonly peers: PeerManager
	readonly slots: SlotManager
	readonly scheduler: Pick<Scheduler, 'getOwnLoad'>
	readonly metrics: MetricsManager
}

/**
 * Creates the managers of health checks, waves and moves.
 *
 * @internal
 */
export function createMaintenance(options: Options): {
	readonly health: HealthManager
	readonly maintenance: MaintenanceManager
} {
	const { settings, logger, timers, log, instance, peers, slots, scheduler, metrics } = options
	const { healthPath, healthTimeoutMilliseconds, timeoutMilliseconds } = settings.maintenance
	const healthChecker = new HttpHealthChecker({
		path: healthPath,
		timeout: healthTimeoutMilliseconds,
	})
	const monitor = new LocalMaintenanceMonitor({
		log,
		instance,
		peers,
		healthChecker,
		platform: new HttpMaintenancePlatform({
			urls: settings.platform.urls,
			instance: settings.instance,
		}),
		getOwnRunningCount: (server) => slots.getRunningCount(server),
	})
	const maintenance = new MaintenanceManager({
		timers,
		logger,
		log,
		instance,
		peers,
		monitor,
		waves: new WavePlanner({ maintenanceTimeout: timeoutMilliseconds }),
		moves: new MovePlanner(createMovePolicy(settings.moves)),
		getDemands: () =>
			getPoolDemands(
				log.state,
				(pool) => [scheduler.getOwnLoad(pool), peers.getPeerLoad(pool)],
				(queue) => metrics.getMeanServiceTime(queue)
			),
	})
	return {
		health: new HealthManager({ timers, logger, log, instance, checker: healthChecker }),
		maintenance,
	}
}
