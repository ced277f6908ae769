import type { OwnerTermOptions } from '../owner/terms/OwnerTermOptions.js'

/** Timeout of the append of a report, in milliseconds. */
const APPEND_TIMEOUT = 700

/**
 * Reports the progress of maintenance waves to the operator.
 *
 * @internal
 */
export class WaveReporter {
	constructor(private readonly options: Pick<OwnerTermOptions, 'log' | 'format' | 'events'>) {}

	/** Reports the state of a wave. Resolves to whether the report is durable. */
	async report(key: string, state: 'running' | 'completed'): Promise<boolean> {
		const { log, format, events } = this.options
		const record = format.encodeWaveReport(key, state)
		const result = await log.append('reports', [record], APPEND_TIMEOUT)
		events.info('wave-reported', { wave: key, state, ...result })
		return result.kind === 'appended'
	}
}
