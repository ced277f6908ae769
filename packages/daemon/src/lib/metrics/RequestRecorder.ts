import type { HistogramRow, Verdict } from '@mastichead/core'
import { LatencyRecorder } from './LatencyRecorder.js'
import type { RequestMeasurement } from './RequestMeasurement.js'

/**
 * Records the latency distributions and outcome counts of a team or a queue.
 *
 * @internal
 */
export class RequestRecorder {
	readonly wait = new LatencyRecorder()
	readonly service = new LatencyRecorder()
	readonly total = new LatencyRecorder()
	readonly outcomes: Record<Verdict, number> = { 'not-run': 0, 'may-have-run': 0, ran: 0 }

	/** Memory used by the distributions, in bytes. */
	get bytes(): number {
		return this.wait.bytes + this.service.bytes + this.total.bytes
	}

	record(measurement: RequestMeasurement): void {
		this.outcomes[measurement.verdict] += 1
		this.wait.record(measurement.waitMilliseconds)
		this.total.record(measurement.totalMilliseconds)
		if (measurement.serviceMilliseconds === undefined) return
		this.service.record(measurement.serviceMilliseconds)
	}

	/** Adds the values of another recorder. */
	merge(other: RequestRecorder): void {
		this.wait.merge(other.wait)
		this.service.merge(other.service)
		this.total.merge(other.total)
		this.outcomes['not-run'] += other.outcomes['not-run']
		this.outcomes['may-have-run'] += other.outcomes['may-have-run']
		this.outcomes.ran += other.outcomes.ran
	}

	toHistogramRow(name: string): HistogramRow {
		return {
			name,
			outcomes: { ...this.outcomes },
			wait: this.wait.encode(),
			service: this.service.encode(),
			total: this.total.encode(),
		}
	}
}
