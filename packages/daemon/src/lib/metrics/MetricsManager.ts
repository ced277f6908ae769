import { formatTextExposition } from './formatTextExposition.js'
import type { HistogramReport, Milliseconds, QueueId } from '@mastichead/core'
import { RecorderTable } from './RecorderTable.js'
import type { RequestMeasurement } from './RequestMeasurement.js'
import { ServiceTimes } from './ServiceTimes.js'

const DEFAULT_MAXIMUM_TEAMS = 512
const DEFAULT_MAXIMUM_QUEUES = 512

/**
 * Records wait, service and total time and the verdict of each request, per team and per queue,
 * in bounded memory.
 *
 * @public
 */
export class MetricsManager {
	private readonly teams: RecorderTable
	private readonly queues: RecorderTable
	private readonly serviceTimes: ServiceTimes

	/**
	 * @param options.maximumTeams - teams with a row of their own; default 512
	 * @param options.maximumQueues - queues with a row of their own; default 512
	 */
	constructor(options: { readonly maximumTeams?: number; readonly maximumQueues?: number } = {}) {
		this.teams = new RecorderTable(options.maximumTeams ?? DEFAULT_MAXIMUM_TEAMS)
		this.queues = new RecorderTable(options.maximumQueues ?? DEFAULT_MAXIMUM_QUEUES)
		this.serviceTimes = new ServiceTimes(options.maximumQueues ?? DEFAULT_MAXIMUM_QUEUES)
	}

	/** Bytes held by all distributions. */
	get bytes(): number {
		return this.teams.bytes + this.queues.bytes
	}

	/** Records a request that ended. */
	recordRequest(measurement: RequestMeasurement): void {
		this.teams.use(measurement.team).record(measurement)
		this.queues.use(measurement.queue).record(measurement)
		const { queue, serviceMilliseconds } = measurement
		if (serviceMilliseconds !== undefined) this.serviceTimes.record(queue, serviceMilliseconds)
	}

	/** Mean service time of the latest requests of a queue; undefined before the first. */
	getMeanService(queue: QueueId): Milliseconds | undefined {
		return this.serviceTimes.get(queue)
	}

	/** Everything recorded since the start, in a form that a reader can merge. */
	getHistograms(): HistogramReport {
		return {
			teams: [...this.teams.entries()].map(([name, row]) => row.export(name)),
			queues: [...this.queues.entries()].map(([name, row]) => row.export(name)),
		}
	}

	/** Everything recorded since the start, in the text exposition format of scrapers. */
	getTextExposition(): string {
		return formatTextExposition({
			team: [...this.teams.entries()],
			queue: [...this.queues.entries()],
		})
	}
}
