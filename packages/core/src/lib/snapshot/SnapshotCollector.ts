import type { SnapshotProposal } from '../log/SnapshotProposal.js'
import type { Snapshot } from './Snapshot.js'

/** Snapshots whose parts may be under way at once. */
const MAXIMUM_UNDER_WAY = 4

/**
 * Puts snapshots together from their parts, in any order and with repeats.
 *
 * @public
 */
export class SnapshotCollector {
	private readonly underWay = new Map<string, Map<number, string>>()

	/** @returns the snapshot, once its last missing part came */
	take(proposal: SnapshotProposal): Snapshot | undefined {
		const { through, hash, part, parts, body } = proposal
		const key = `${through} ${hash} ${parts}`
		const bodies = this.underWay.get(key) ?? new Map<number, string>()
		bodies.set(part, body)
		this.underWay.set(key, bodies)
		this.dropOldest()
		if (bodies.size < parts) return undefined
		this.underWay.delete(key)
		const ordered = [...bodies].sort(([a], [b]) => a - b)
		return { through, hash, parts: ordered.map(([, text]) => text) }
	}

	private dropOldest(): void {
		if (this.underWay.size <= MAXIMUM_UNDER_WAY) return
		const [oldest] = this.underWay.keys()
		if (oldest !== undefined) this.underWay.delete(oldest)
	}
}
