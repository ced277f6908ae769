/**
 * A row of a table, by column.
 *
 * @internal
 */
export type BenchRow = Readonly<Record<string, string | number | boolean>>
