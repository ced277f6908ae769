/**
 * Bugs that can be seeded into the ledger model. The search must find each of them.
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
