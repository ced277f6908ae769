import { LatencyRecorder } from './LatencyRecorder.js'
import type { RequestRecorder } from './RequestRecorder.js'
import type { metricFamilies } from './metricFamilies.js'

const MILLISECONDS_PER_SECOND = 1_000

type RecorderEntries = readonly (readonly [string, RequestRecorder])[]

/**
 * Formats a family of metrics in the Prometheus text exposition format.
 *
 * @param label - label that carries the name of each recorder
 * @param family - outcome counters, or the histogram of one distribution
 * @internal
 */
export function formatMetricFamily(
	label: 'team' | 'queue',
	family: (typeof metricFamilies)[number],
	entries: RecorderEntries
): string {
	const lines: string[] = []
	if (family === 'outcomes') appendOutcomes(lines, label, entries)
	else appendDistribution(lines, label, family, entries)
	return `${lines.join('\n')}\n`
}

function appendOutcomes(lines: string[], label: string, entries: RecorderEntries): void {
	const metricName = `mastichead_${label}_requests_total`
	lines.push(`# HELP ${metricName} Requests that ended, by ${label} and verdict.`)
	lines.push(`# TYPE ${metricName} counter`)
	for (const [name, recorder] of entries) {
		for (const [verdict, count] of Object.entries(recorder.outcomes)) {
			lines.push(`${metricName}{${label}="${escapeLabel(name)}",verdict="${verdict}"} ${count}`)
		}
	}
}

function appendDistribution(
	lines: string[],
	label: string,
	distribution: 'wait' | 'service' | 'total',
	entries: RecorderEntries
): void {
	const metricName = `mastichead_${label}_${distribution}_seconds`
	lines.push(`# HELP ${metricName} Distribution of the ${distribution} time by ${label}.`)
	lines.push(`# TYPE ${metricName} histogram`)
	for (const [name, recorder] of entries) {
		appendHistogram(lines, metricName, `${label}="${escapeLabel(name)}"`, recorder[distribution])
	}
}

function appendHistogram(
	lines: string[],
	metricName: string,
	labels: string,
	recorder: LatencyRecorder
): void {
	const count = recorder.histogram.totalCount
	for (const [index, bound] of LatencyRecorder.bucketBoundsMilliseconds.entries()) {
		const seconds = bound / MILLISECONDS_PER_SECOND
		lines.push(`${metricName}_bucket{${labels},le="${seconds}"} ${recorder.buckets[index] ?? 0}`)
	}
	lines.push(`${metricName}_bucket{${labels},le="+Inf"} ${count}`)
	lines.push(`${metricName}_sum{${labels}} ${recorder.sumMilliseconds / MILLISECONDS_PER_SECOND}`)
	lines.push(`${metricName}_count{${labels}} ${count}`)
}

function escapeLabel(value: string): string {
	return value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n')
}
