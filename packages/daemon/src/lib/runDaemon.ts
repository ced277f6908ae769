import { SystemTimerService } from '@mastichead/core'
import { Daemon } from './Daemon.js'
import { describeStartError } from './describeStartError.js'
import type { ExitCode } from './ExitCode.js'
import { createLogger } from './logs/createLogger.js'
import type { Settings } from './settings/Settings.js'

/**
 * Runs a daemon until SIGTERM or SIGINT and shuts it down gracefully.
 *
 * @public
 */
export async function runDaemon(settings: Settings): Promise<ExitCode> {
	const logger = createLogger({
		level: settings.log.level,
		fields: { instance: settings.instance, availabilityZone: settings.availabilityZone },
	})
	const daemon = new Daemon({ settings, logger, timers: new SystemTimerService() })
	const signalled = waitForSignal()
	try {
		await daemon.start()
	} catch (error) {
		logger.error('start-failed', { reason: describeStartError(error, settings) })
		return 1
	}
	logger.info('shutdown-started', { signal: await signalled })
	await daemon.stop()
	logger.info('shutdown-finished')
	return 0
}

function waitForSignal(): Promise<NodeJS.Signals> {
	return new Promise((resolve) => {
		process.once('SIGTERM', resolve)
		process.once('SIGINT', resolve)
	})
}
