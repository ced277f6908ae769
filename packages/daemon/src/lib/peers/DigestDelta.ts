import type { DigestRow } from './DigestRow.js'

/**
 * Rows for one peer: those that changed since the peer last confirmed them, as many as fit.
 *
 * @internal
 */
export class DigestDelta {
	/** Encoded rows that the peer has, by key. */
	private readonly confirmed = new Map<string, string>()
	/** Rows of the last digest that was built, not confirmed yet. */
	private unconfirmed: readonly DigestRow[] = []
	private nextIndex = 0

	/**
	 * Chooses the rows of the next digest, in turn where not all fit.
	 *
	 * @param maximumBytes - bytes that the rows may take
	 */
	selectRows(rows: readonly DigestRow[], maximumBytes: number): readonly DigestRow[] {
		const changed = rows.filter(({ key, encoded }) => this.confirmed.get(key) !== encoded)
		const start = changed.length === 0 ? 0 : this.nextIndex % changed.length
		this.unconfirmed = takeWhileFits(
			[...changed.slice(start), ...changed.slice(0, start)],
			maximumBytes
		)
		if (this.unconfirmed.length < changed.length) this.nextIndex += this.unconfirmed.length
		return this.unconfirmed
	}

	/** Whether the peer misses any of the rows. */
	hasChanges(rows: readonly DigestRow[]): boolean {
		return rows.some(({ key, encoded }) => this.confirmed.get(key) !== encoded)
	}

	/** Notes that the peer has the last digest. */
	confirm(): void {
		for (const { key, encoded } of this.unconfirmed) this.confirmed.set(key, encoded)
		this.unconfirmed = []
	}
}

function takeWhileFits(rows: readonly DigestRow[], maximumBytes: number): DigestRow[] {
	const selected: DigestRow[] = []
	let remainingBytes = maximumBytes
	for (const row of rows) {
		remainingBytes -= row.bytes
		if (remainingBytes < 0) break
		selected.push(row)
	}
	return selected
}
