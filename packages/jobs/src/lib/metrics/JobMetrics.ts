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
	/** Gauges by name, then by label; a gauge without a label has an empty one. */
	private readonly gauges = new Map<string, Map<string, () => number>>()
	/** Histograms by family, then by label; a histogram without a label has an empty one. */
	private readonly histograms = new Map<string, Map<string, Histogram>>()

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
	addGauge(name: string, read: () => number, label = ''): void {
		const gauges = this.gauges.get(name) ?? new Map<string, () => number>()
		this.gauges.set(name, gauges.set(label, read))
	}

	/** Records a duration in milliseconds in a histogram; `label` is the value of its `kind` label. */
	observe(family: string, duration: number, label = ''): void {
		const histogram = this.getHistogram(family, label)
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
		for (const [name, gauges] of this.gauges) {
			lines.push(`# TYPE mastichead_${name} gauge`)
			for (const [label, read] of gauges) {
				lines.push(`mastichead_${name}${formatLabels(formatKind(label))} ${read()}`)
			}
		}
		for (const [family, histograms] of this.histograms) {
			const name = `mastichead_${family}_milliseconds`
			lines.push(`# TYPE ${name} histogram`)
			for (const [label, histogram] of histograms) {
				lines.push(...formatHistogram(name, formatKind(label), histogram))
			}
		}
		return `${lines.join('\n')}\n`
	}

	private getHistogram(family: string, label: string): Histogram {
		const histograms = this.histograms.get(family) ?? new Map<string, Histogram>()
		this.histograms.set(family, histograms)
		const existing = histograms.get(label)
		if (existing) return existing
		const histogram = { buckets: BUCKET_BOUNDS.map(() => 0), sum: 0, count: 0 }
		histograms.set(label, histogram)
		return histogram
	}
}

function formatHistogram(name: string, labels: readonly string[], histogram: Histogram): string[] {
	const lines = BUCKET_BOUNDS.map((bound, index) => {
		const count = histogram.buckets[index] ?? 0
		return `${name}_bucket${formatLabels([...labels, `le="${bound}"`])} ${count}`
	})
	lines.push(`${name}_bucket${formatLabels([...labels, 'le="+Inf"'])} ${histogram.count}`)
	const suffix = formatLabels(labels)
	lines.push(`${name}_sum${suffix} ${histogram.sum}`, `${name}_count${suffix} ${histogram.count}`)
	return lines
}

function formatKind(label: string): string[] {
	return label === '' ? [] : [`kind=${JSON.stringify(label)}`]
}

function formatLabels(labels: readonly string[]): string {
	return labels.length === 0 ? '' : `{${labels.join(',')}}`
}
