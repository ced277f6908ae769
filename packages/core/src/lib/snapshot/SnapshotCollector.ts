import type { SnapshotProposal } from '../log/SnapshotProposal.js'
import type { Snapshot } from './Snapshot.js'

/** Maximum number of incomplete snapshots; the oldest is dropped first. */
const MAXIMUM_PARTIAL_SNAPSHOTS = 4

/**
 * Assembles snapshots from their parts, which may come in any order and more than once.
 *
 * @public
 */
export class SnapshotCollector {
	/** Bodies of the received parts by index, by snapshot. */
	private readonly partialSnapshots = new Map<string, Map<number, string>>()

	/**
	 * Adds a part.
	 *
	 * @returns the snapshot if this was its last missing part
	 */
	addPart(proposal: SnapshotProposal): Snapshot | undefined {
		const { through, hash, part, parts, body } = proposal
		const key = `${through} ${hash} ${parts}`
		const bodies = this.partialSnapshots.get(key) ?? new Map<number, string>()
		bodies.set(part, body)
		this.partialSnapshots.set(key, bodies)
		this.dropOldest()
		if (bodies.size < parts) return undefined
		this.partialSnapshots.delete(key)
		const ordered = [...bodies].sort(([a], [b]) => a - b)
		return { through, hash, parts: ordered.map(([, text]) => text) }
	}

	private dropOldest(): void {
		if (this.partialSnapshots.size <= MAXIMUM_PARTIAL_SNAPSHOTS) return
		const [oldest] = this.partialSnapshots.keys()
		if (oldest !== undefined) this.partialSnapshots.delete(oldest)
	}
}
