/**
 * Changes to one table: rows to add or replace, and names of rows to remove.
 *
 * @public
 */
export interface TablePatch<Row extends { readonly name: string }> {
	readonly put: readonly Row[]
	readonly remove: readonly Row['name'][]
}
