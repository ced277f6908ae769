import type { SnapshotProposal } from '../log/SnapshotProposal.js'
import type { Snapshot } from './Snapshot.js'

/** Snapshots whose parts may be under way at once. */
const MAXIMUM_PARTIAL_SNAPSHOTS = 4

/**
 * Puts snapshots together from their parts, in any order and with repeats.
 *
 * @public
 */
export class SnapshotCollector {
	private readonly partialSnapshots = new Map<string, Map<number, string>>()

	/** @returns the snapshot, once its last missing part came */
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
