import type { HistogramReport, HistogramRow, Milliseconds, QueueId } from '@mastichead/core'
import { setImmediate } from 'node:timers/promises'
import { formatMetricFamily } from './formatMetricFamily.js'
import { metricFamilies } from './metricFamilies.js'
import { RecorderTable } from './RecorderTable.js'
import type { RequestMeasurement } from './RequestMeasurement.js'
import { ServiceTimeAverages } from './ServiceTimeAverages.js'

const DEFAULT_MAXIMUM_TEAMS = 512
const DEFAULT_MAXIMUM_QUEUES = 512
/** Rows that are encoded before other work gets its turn. */
const ROWS_IN_A_ROW = 8

/**
 * Records wait, service and total time and the verdict of each request, per team and per queue,
 * in bounded memory.
 *
 * @public
 */
export class MetricsManager {
	private readonly teams: RecorderTable
	private readonly queues: RecorderTable
	private readonly serviceTimes: ServiceTimeAverages

	/**
	 * @param options.maximumTeams - teams with a row of their own; default 512
	 * @param options.maximumQueues - queues with a row of their own; default 512
	 */
	constructor(options: { readonly maximumTeams?: number; readonly maximumQueues?: number } = {}) {
		this.teams = new RecorderTable(options.maximumTeams ?? DEFAULT_MAXIMUM_TEAMS)
		this.queues = new RecorderTable(options.maximumQueues ?? DEFAULT_MAXIMUM_QUEUES)
		this.serviceTimes = new ServiceTimeAverages(options.maximumQueues ?? DEFAULT_MAXIMUM_QUEUES)
	}

	/** Bytes held by all distributions. */
	get bytes(): number {
		return this.teams.bytes + this.queues.bytes
	}

	/** Records a request that ended. */
	recordRequest(measurement: RequestMeasurement): void {
		this.teams.getOrCreate(measurement.team).record(measurement)
		this.queues.getOrCreate(measurement.queue).record(measurement)
		const { queue, serviceMilliseconds } = measurement
		if (serviceMilliseconds !== undefined) this.serviceTimes.record(queue, serviceMilliseconds)
	}

	/** Mean service time of the latest requests of a queue; undefined before the first. */
	getMeanServiceTime(queue: QueueId): Milliseconds | undefined {
		return this.serviceTimes.get(queue)
	}

	/** Everything recorded since the start, in a form that a reader can merge. */
	async getHistograms(): Promise<HistogramReport> {
		return { teams: await exportRows(this.teams), queues: await exportRows(this.queues) }
	}

	/** Everything recorded since the start, in the text exposition format of scrapers. */
	async getTextExposition(): Promise<string> {
		const parts: string[] = []
		for (const [label, table] of [
			['team', this.teams],
			['queue', this.queues],
		] as const) {
			for (const family of metricFamilies) {
				parts.push(formatMetricFamily(label, family, [...table.entries()]))
				await setImmediate()
			}
		}
		return parts.join('')
	}
}

/** Encoding takes time, so that other work gets its turn between rows. */
async function exportRows(table: RecorderTable): Promise<HistogramRow[]> {
	const rows: HistogramRow[] = []
	for (const [name, row] of [...table.entries()]) {
		rows.push(row.toHistogramRow(name))
		if (rows.length % ROWS_IN_A_ROW === 0) await setImmediate()
	}
	return rows
}
