/** Upper bounds of the latency buckets, in milliseconds. */
const BUCKET_BOUNDS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000]
/** Rows of one family; further labels are counted together. */
const MAXIMUM_LABELS = 1_500
const OVERFLOW_LABEL = 'other'

interface Distribution {
	readonly buckets: number[]
	sum: number
	count: number
}

/**
 * Counters, gauges and latency histograms, in the text exposition format of scrapers.
 *
 * @public
 */
export class JobMetrics {
	private readonly counters = new Map<string, Map<string, number>>()
	private readonly gauges = new Map<string, () => number>()
	private readonly distributions = new Map<string, Distribution>()

	/** Counts an event; `label` says which of its kinds it was. */
	count(family: string, label: string, amount = 1): void {
		let rows = this.counters.get(family)
		if (!rows) {
			rows = new Map()
			this.counters.set(family, rows)
		}
		const key = rows.has(label) || rows.size < MAXIMUM_LABELS ? label : OVERFLOW_LABEL
		rows.set(key, (rows.get(key) ?? 0) + amount)
	}

	/** Adds a value that is read when the metrics are. */
	addGauge(name: string, read: () => number): void {
		this.gauges.set(name, read)
	}

	/** Records a duration in milliseconds. */
	observe(family: string, duration: number): void {
		let distribution = this.distributions.get(family)
		if (!distribution) {
			distribution = { buckets: BUCKET_BOUNDS.map(() => 0), sum: 0, count: 0 }
			this.distributions.set(family, distribution)
		}
		distribution.sum += duration
		distribution.count += 1
		for (const [place, bound] of BUCKET_BOUNDS.entries()) {
			if (duration <= bound) distribution.buckets[place] = (distribution.buckets[place] ?? 0) + 1
		}
	}

	/** Everything recorded since the start. */
	format(): string {
		const lines: string[] = []
		for (const [family, rows] of this.counters) {
			lines.push(`# TYPE mastichead_${family}_total counter`)
			for (const [label, value] of rows) {
				lines.push(`mastichead_${family}_total{kind=${JSON.stringify(label)}} ${value}`)
			}
		}
		for (const [name, read] of this.gauges) {
			lines.push(`# TYPE mastichead_${name} gauge`, `mastichead_${name} ${read()}`)
		}
		for (const [family, distribution] of this.distributions) {
			lines.push(...formatDistribution(`mastichead_${family}_milliseconds`, distribution))
		}
		return `${lines.join('\n')}\n`
	}
}

function formatDistribution(name: string, distribution: Distribution): string[] {
	const lines = [`# TYPE ${name} histogram`]
	for (const [place, bound] of BUCKET_BOUNDS.entries()) {
		lines.push(`${name}_bucket{le="${bound}"} ${distribution.buckets[place] ?? 0}`)
	}
	lines.push(`${name}_bucket{le="+Inf"} ${distribution.count}`)
	lines.push(`${name}_sum ${distribution.sum}`, `${name}_count ${distribution.count}`)
	return lines
}
