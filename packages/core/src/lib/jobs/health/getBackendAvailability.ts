import type { BackendAvailability } from './BackendAvailability.js'
import type { BackendRow } from '../BackendRow.js'

/**
 * Returns whether a backend server can take work. Everything that counts servers for work decides by
 * this, so that no two parts disagree.
 *
 * @param now - time on the owner's monotonic clock, in milliseconds
 * @public
 */
export function getBackendAvailability(backend: BackendRow, now: number): BackendAvailability {
	const { registered, draining, cordoned, evacuated, reachable, reconciled, avoidedUntil } = backend
	if (!registered) return 'unregistered'
	if (draining || cordoned || evacuated) return 'closing'
	if (!reachable) return 'unreachable'
	if (!reconciled) return 'unlisted'
	return avoidedUntil > now ? 'avoided' : 'usable'
}
