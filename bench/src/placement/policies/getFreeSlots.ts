import type { PlacementCandidate } from './PlacementCandidate.js'

/**
 * Returns the slots of a backend server that seem free. Negative if entry instances overbooked it.
 *
 * @internal
 */
export function getFreeSlots(candidate: PlacementCandidate): number {
	return candidate.slots - candidate.running - candidate.peerRunning
}
