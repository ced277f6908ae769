import type { FleetState, Milliseconds, TimerService } from '@mastichead/core'
import type { Logger } from 'winston'
import { LogClient } from '../log/LogClient.js'
import { LogManager } from '../log/LogManager.js'

/**
 * A log whose folded state the test sets, as current as can be.
 *
 * @internal
 */
export class FixedLog extends LogManager {
	constructor(
		private readonly timers: TimerService,
		logger: Logger,
		private readonly fixedState: FleetState
	) {
		super(timers, new UnusedLogClient(), logger)
	}

	override get state(): FleetState {
		return this.fixedState
	}

	override get platformContactAt(): Milliseconds {
		return this.timers.now()
	}
}

class UnusedLogClient extends LogClient {
	override read(): never {
		throw new Error('the log is not read')
	}

	override append(): never {
		throw new Error('nothing is appended')
	}

	override close(): Promise<void> {
		return Promise.resolve()
	}
}
