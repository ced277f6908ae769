import type { DigestRow } from './DigestRow.js'

/**
 * Selects the digest rows for one peer: those that changed since the peer last confirmed them, as
 * many as fit.
 *
 * @internal
 */
export class DigestDelta {
	/** Encoded rows that the peer has confirmed, by key. */
	private readonly confirmed = new Map<string, string>()
	/** Rows of the last digest, until the peer confirms it. */
	private unconfirmed: readonly DigestRow[] = []
	/** Position among the changed rows at which the next digest starts, modulo their number. */
	private nextIndex = 0

	/**
	 * Selects the rows of the next digest. If not all fit, the next digest continues with the rest.
	 *
	 * @param maximumBytes - maximum encoded size of the rows
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

	/** Whether the peer lacks the current version of any row. */
	hasChanges(rows: readonly DigestRow[]): boolean {
		return rows.some(({ key, encoded }) => this.confirmed.get(key) !== encoded)
	}

	/** Records that the peer has received the last digest. */
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
