import type { HistogramReport, HistogramRow, Milliseconds, QueueId } from '@mastichead/core'
import { setImmediate } from 'node:timers/promises'
import { formatMetricFamily } from './formatMetricFamily.js'
import { metricFamilies } from './metricFamilies.js'
import { RecorderTable } from './RecorderTable.js'
import type { RequestMeasurement } from './RequestMeasurement.js'
import { ServiceTimeAverages } from './ServiceTimeAverages.js'

const DEFAULT_MAXIMUM_TEAMS = 512
const DEFAULT_MAXIMUM_QUEUES = 512
/** Rows encoded before yielding to the event loop. */
const ROWS_PER_BATCH = 8

/**
 * Records the wait, service and total time and the verdict of each request, per team and per queue,
 * in bounded memory.
 *
 * @public
 */
export class MetricsManager {
	private readonly teams: RecorderTable
	private readonly queues: RecorderTable
	private readonly serviceTimes: ServiceTimeAverages

	/**
	 * @param options.maximumTeams - maximum number of teams recorded separately; default 512
	 * @param options.maximumQueues - maximum number of queues recorded separately; default 512
	 */
	constructor(options: { readonly maximumTeams?: number; readonly maximumQueues?: number } = {}) {
		this.teams = new RecorderTable(options.maximumTeams ?? DEFAULT_MAXIMUM_TEAMS)
		this.queues = new RecorderTable(options.maximumQueues ?? DEFAULT_MAXIMUM_QUEUES)
		this.serviceTimes = new ServiceTimeAverages(options.maximumQueues ?? DEFAULT_MAXIMUM_QUEUES)
	}

	/** Memory used by all distributions, in bytes. */
	get bytes(): number {
		return this.teams.bytes + this.queues.bytes
	}

	/** Records a finished request. */
	recordRequest(measurement: RequestMeasurement): void {
		this.teams.getOrCreate(measurement.team).record(measurement)
		this.queues.getOrCreate(measurement.queue).record(measurement)
		const { queue, serviceMilliseconds } = measurement
		if (serviceMilliseconds !== undefined) this.serviceTimes.record(queue, serviceMilliseconds)
	}

	/** Returns the mean of recent service times of a queue; undefined before its first request. */
	getMeanServiceTime(queue: QueueId): Milliseconds | undefined {
		return this.serviceTimes.get(queue)
	}

	/** Returns all histograms since the start in a form that readers can merge. */
	async getHistograms(): Promise<HistogramReport> {
		return { teams: await exportRows(this.teams), queues: await exportRows(this.queues) }
	}

	/** Returns all metrics since the start in the Prometheus text exposition format. */
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

/** Encodes the rows in batches, since encoding all of them at once would block the event loop. */
async function exportRows(table: RecorderTable): Promise<HistogramRow[]> {
	const rows: HistogramRow[] = []
	for (const [name, recorder] of [...table.entries()]) {
		rows.push(recorder.toHistogramRow(name))
		if (rows.length % ROWS_PER_BATCH === 0) await setImmediate()
	}
	return rows
}
