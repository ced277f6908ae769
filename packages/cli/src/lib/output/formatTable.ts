/**
 * Formats rows as left-aligned columns below their headings.
 *
 * @returns one line for the headings and one for each row, each with a line break
 * @internal
 */
export function formatTable(
	headings: readonly string[],
	rows: readonly (readonly (string | number)[])[]
): string {
	const lines = [headings, ...rows].map((row) => row.map(String))
	const widths = headings.map((_, column) =>
		Math.max(...lines.map((line) => line[column]?.length ?? 0))
	)
	return lines
		.map((line) => line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  '))
		.map((line) => `${line.trimEnd()}\n`)
		.join('')
}
