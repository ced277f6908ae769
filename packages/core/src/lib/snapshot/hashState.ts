import { createHash } from 'node:crypto'
import type { FleetState } from '../state/FleetState.js'
import { encodeState } from './encodeState.js'

/**
 * Returns the SHA-256 of the encoded state, in hex. Daemons at the same offset have the same hash.
 *
 * @public
 */
export function hashState(state: FleetState): string {
	return createHash('sha256').update(encodeState(state)).digest('hex')
}
