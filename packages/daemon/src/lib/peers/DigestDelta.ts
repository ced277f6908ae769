import type { DigestRow } from './DigestRow.js'

/**
 * Rows for one peer: those that changed since the peer last confirmed them, as many as fit.
 *
 * @internal
 */
export class DigestDelta {
	/** Encoded rows that the peer has, by key. */
	private readonly known = new Map<string, string>()
	/** Rows of the last digest that was built, not confirmed yet. */
	private sent: readonly DigestRow[] = []
	private turn = 0

	/**
	 * Chooses the rows of the next digest, in turn where not all fit.
	 *
	 * @param budget - bytes that the rows may take
	 */
	build(rows: readonly DigestRow[], budget: number): readonly DigestRow[] {
		const changed = rows.filter(({ key, encoded }) => this.known.get(key) !== encoded)
		const start = changed.length === 0 ? 0 : this.turn % changed.length
		this.sent = takeRows([...changed.slice(start), ...changed.slice(0, start)], budget)
		if (this.sent.length < changed.length) this.turn += this.sent.length
		return this.sent
	}

	/** Whether the peer misses any of the rows. */
	hasChanges(rows: readonly DigestRow[]): boolean {
		return rows.some(({ key, encoded }) => this.known.get(key) !== encoded)
	}

	/** Notes that the peer has the last digest. */
	confirm(): void {
		for (const { key, encoded } of this.sent) this.known.set(key, encoded)
		this.sent = []
	}
}

function takeRows(rows: readonly DigestRow[], budget: number): DigestRow[] {
	const taken: DigestRow[] = []
	let left = budget
	for (const row of rows) {
		left -= row.bytes
		if (left < 0) break
		taken.push(row)
	}
	return taken
}
