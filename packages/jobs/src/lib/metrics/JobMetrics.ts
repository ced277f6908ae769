/** Upper bounds of the latency buckets, in milliseconds. */
const BUCKET_BOUNDS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000]
/** Maximum number of labels per family; further ones are counted under `OVERFLOW_LABEL`. */
const MAXIMUM_LABELS = 1_500
const OVERFLOW_LABEL = 'other'

interface Histogram {
	readonly buckets: number[]
	sum: number
	count: number
}

/**
 * Counters, gauges and latency histograms, formatted in the Prometheus text exposition format.
 *
 * @public
 */
export class JobMetrics {
	private readonly counters = new Map<string, Map<string, number>>()
	private readonly gauges = new Map<string, () => number>()
	private readonly histograms = new Map<string, Histogram>()

	/** Adds `amount` to a counter; `label` is the value of its `kind` label. */
	count(family: string, label: string, amount = 1): void {
		let valuesByLabel = this.counters.get(family)
		if (!valuesByLabel) {
			valuesByLabel = new Map()
			this.counters.set(family, valuesByLabel)
		}
		const key =
			valuesByLabel.has(label) || valuesByLabel.size < MAXIMUM_LABELS ? label : OVERFLOW_LABEL
		valuesByLabel.set(key, (valuesByLabel.get(key) ?? 0) + amount)
	}

	/** Adds a gauge; `read` is called whenever the metrics are formatted. */
	addGauge(name: string, read: () => number): void {
		this.gauges.set(name, read)
	}

	/** Records a duration in milliseconds in a histogram. */
	observe(family: string, duration: number): void {
		let histogram = this.histograms.get(family)
		if (!histogram) {
			histogram = { buckets: BUCKET_BOUNDS.map(() => 0), sum: 0, count: 0 }
			this.histograms.set(family, histogram)
		}
		histogram.sum += duration
		histogram.count += 1
		for (const [index, bound] of BUCKET_BOUNDS.entries()) {
			if (duration <= bound) histogram.buckets[index] = (histogram.buckets[index] ?? 0) + 1
		}
	}

	/** Formats all metrics since the start of the process. */
	format(): string {
		const lines: string[] = []
		for (const [family, valuesByLabel] of this.counters) {
			lines.push(`# TYPE mastichead_${family}_total counter`)
			for (const [label, value] of valuesByLabel) {
				lines.push(`mastichead_${family}_total{kind=${JSON.stringify(label)}} ${value}`)
			}
		}
		for (const [name, read] of this.gauges) {
			lines.push(`# TYPE mastichead_${name} gauge`, `mastichead_${name} ${read()}`)
		}
		for (const [family, histogram] of this.histograms) {
			lines.push(...formatHistogram(`mastichead_${family}_milliseconds`, histogram))
		}
		return `${lines.join('\n')}\n`
	}
}

function formatHistogram(name: string, histogram: Histogram): string[] {
	const lines = [`# TYPE ${name} histogram`]
	for (const [index, bound] of BUCKET_BOUNDS.entries()) {
		lines.push(`${name}_bucket{le="${bound}"} ${histogram.buckets[index] ?? 0}`)
	}
	lines.push(`${name}_bucket{le="+Inf"} ${histogram.count}`)
	lines.push(`${name}_sum ${histogram.sum}`, `${name}_count ${histogram.count}`)
	return lines
}
