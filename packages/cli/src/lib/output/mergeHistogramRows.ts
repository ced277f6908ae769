import { decodeFromCompressedBase64, type Histogram } from 'hdr-histogram-js'
import type { HistogramRow } from '@mastichead/core'
import type { MergedRow } from './MergedRow.js'

/** Histograms record values in tenths of a millisecond. */
const UNITS_PER_MILLISECOND = 10

/**
 * Merges the rows of several daemons by name, and sorts them by name.
 *
 * @internal
 */
export function mergeHistogramRows(rows: readonly HistogramRow[]): readonly MergedRow[] {
	const byName = groupByName(rows)
	return [...byName]
		.sort(([first], [second]) => first.localeCompare(second))
		.map(([name, group]) => ({
			name,
			outcomes: {
				ran: sum(group, (row) => row.outcomes.ran),
				'may-have-run': sum(group, (row) => row.outcomes['may-have-run']),
				'not-run': sum(group, (row) => row.outcomes['not-run']),
			},
			wait: getPercentiles(group.map((row) => row.wait)),
			service: getPercentiles(group.map((row) => row.service)),
			total: getPercentiles(group.map((row) => row.total)),
		}))
}

function groupByName(rows: readonly HistogramRow[]): Map<string, HistogramRow[]> {
	const groups = new Map<string, HistogramRow[]>()
	for (const row of rows) {
		const group = groups.get(row.name)
		if (group) group.push(row)
		else groups.set(row.name, [row])
	}
	return groups
}

function getPercentiles(encodedHistograms: readonly string[]): MergedRow['wait'] {
	const [first, ...others] = encodedHistograms.map((text) => decodeFromCompressedBase64(text))
	if (!first) return { count: 0, p50: 0, p90: 0, p99: 0, maximum: 0 }
	for (const histogram of others) first.add(histogram)
	return {
		count: first.totalCount,
		p50: getPercentileMilliseconds(first, 50),
		p90: getPercentileMilliseconds(first, 90),
		p99: getPercentileMilliseconds(first, 99),
		maximum: getPercentileMilliseconds(first, 100),
	}
}

function getPercentileMilliseconds(histogram: Histogram, percentile: number): number {
	return histogram.getValueAtPercentile(percentile) / UNITS_PER_MILLISECOND
}

function sum(rows: readonly HistogramRow[], get: (row: HistogramRow) => number): number {
	return rows.reduce((total, row) => total + get(row), 0)
}
