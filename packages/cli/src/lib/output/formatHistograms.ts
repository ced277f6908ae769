import { formatTable } from './formatTable.js'
import type { MergedRow } from './MergedRow.js'

const HEADINGS = ['RAN', 'MAY HAVE RUN', 'NOT RUN', 'WAIT', 'SERVICE', 'TOTAL (50/90/99/MAX MS)']

/**
 * Formats merged distributions as a table of percentiles.
 *
 * @param label - what the rows are, such as `team`
 * @internal
 */
export function formatHistograms(label: string, rows: readonly MergedRow[]): string {
	return formatTable(
		[label.toUpperCase(), ...HEADINGS],
		rows.map((row) => [
			row.name,
			row.outcomes.ran,
			row.outcomes['may-have-run'],
			row.outcomes['not-run'],
			formatPercentiles(row.wait),
			formatPercentiles(row.service),
			formatPercentiles(row.total),
		])
	)
}

function formatPercentiles(percentiles: MergedRow['wait']): string {
	if (percentiles.count === 0) return '-'
	return [percentiles.p50, percentiles.p90, percentiles.p99, percentiles.maximum]
		.map((value) => value.toFixed(1))
		.join('/')
}
