/**
 * Row of a printed table: values by column name.
 *
 * @internal
 */
export type BenchRow = Readonly<Record<string, string | number | boolean>>
