import { SystemTimerService, type TimerService } from '@mastichead/core'
import type { Logger } from 'winston'
import { Daemon } from './Daemon.js'
import { describeStartError } from './describeStartError.js'
import type { ExitCode } from './ExitCode.js'
import { createLogger } from './logs/createLogger.js'
import type { Settings } from './settings/Settings.js'

/**
 * Runs a daemon until SIGTERM or SIGINT and shuts it down gracefully. A daemon that was removed
 * from the members after a long silence restarts as a new incarnation.
 *
 * @public
 */
export async function runDaemon(settings: Settings): Promise<ExitCode> {
	const logger = createLogger({
		level: settings.log.level,
		fields: { instance: settings.instance, availabilityZone: settings.availabilityZone },
	})
	const options = { settings, logger, timers: new SystemTimerService() }
	const signalReceived = waitForSignal()
	for (;;) {
		const result = await runIncarnation(options, signalReceived)
		if (result !== 'dropped') return result
	}
}

/** Runs one incarnation until it ends. */
async function runIncarnation(
	options: {
		readonly settings: Settings
		readonly logger: Logger
		readonly timers: TimerService
	},
	signalReceived: Promise<NodeJS.Signals>
): Promise<ExitCode | 'dropped'> {
	const { logger, settings } = options
	const daemon = new Daemon(options)
	const startFailure = daemon.start().then(
		() => new Promise<never>(() => undefined),
		(error: unknown) => ({ type: 'failed', error }) as const
	)
	const end = await Promise.race([
		startFailure,
		signalReceived.then((signal) => ({ type: 'signalled', signal }) as const),
		daemon.dropped.then(() => ({ type: 'dropped' }) as const),
	])
	switch (end.type) {
		case 'failed':
			logger.error('start-failed', { reason: describeStartError(end.error, settings) })
			return 1
		case 'signalled':
			logger.info('shutdown-started', { signal: end.signal })
			await daemon.stop()
			logger.info('shutdown-finished')
			return 0
		case 'dropped':
			logger.warn('member-rejoining', { instance: daemon.instance })
			await daemon.stop()
			return 'dropped'
	}
}

function waitForSignal(): Promise<NodeJS.Signals> {
	return new Promise((resolve) => {
		process.once('SIGTERM', resolve)
		process.once('SIGINT', resolve)
	})
}
