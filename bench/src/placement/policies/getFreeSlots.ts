import type { PlacementCandidate } from './PlacementCandidate.js'

/**
 * Slots of a backend server that seem free. May be negative.
 *
 * @internal
 */
export function getFreeSlots(candidate: PlacementCandidate): number {
	return candidate.slots - candidate.running - candidate.peerRunning
}
