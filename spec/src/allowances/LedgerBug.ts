/**
 * Bugs that can be seeded into the ledger model. The search must find each of them.
 *
 * - `grants-above-limit`: the fold grants requests regardless of the limit
 * - `lease-not-checked`: a holder uses its units without checking its lease
 * - `lease-from-read`: a holder counts its lease from its last read instead of its last heartbeat
 * - `reclaim-without-run-bound`: units are freed before runs on them have ended
 * - `duplicates-applied`: the fold applies an allowance record again
 * - `releases-forgotten`: a holder goes on using units whose release it has sent
 * - `lapse-undone`: a heartbeat restores the units that the lapse freed
 * - `lapse-twice`: a member lapses again while its previous floor may still be in use
 *
 * @public
 */
export type LedgerBug =
	| 'grants-above-limit'
	| 'lease-not-checked'
	| 'lease-from-read'
	| 'reclaim-without-run-bound'
	| 'duplicates-applied'
	| 'releases-forgotten'
	| 'lapse-undone'
	| 'lapse-twice'
