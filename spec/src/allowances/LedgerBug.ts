/**
 * Mistakes that the search must find in the ledger model.
 *
 * @public
 */
export type LedgerBug =
	| 'grants-without-room'
	| 'start-without-clock'
	| 'lease-from-reading'
	| 'reclaim-without-run-bound'
	| 'duplicates-count'
	| 'releases-forgotten'
	| 'lapse-undone'
	| 'lapse-twice'
