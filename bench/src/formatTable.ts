import type { BenchRow } from './BenchRow.js'

/**
 * Formats rows as a text table with right-aligned numbers. The first row gives the columns.
 *
 * @internal
 */
export function formatTable(rows: readonly BenchRow[]): string {
	const columns = Object.keys(rows[0] ?? {})
	const widths = columns.map((column) =>
		Math.max(column.length, ...rows.map((row) => String(row[column]).length))
	)
	const lines = rows.map((row) =>
		columns.map((column, index) => padCell(row[column] ?? '', widths[index] ?? 0)).join('  ')
	)
	const header = columns.map((column, index) => column.padEnd(widths[index] ?? 0)).join('  ')
	return [header, ...lines].map((line) => line.trimEnd()).join('\n')
}

function padCell(value: string | number | boolean, width: number): string {
	return typeof value === 'number' ? String(value).padStart(width) : String(value).padEnd(width)
}
