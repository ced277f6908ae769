import type { FleetState } from '../state/FleetState.js'
import type { Member } from '../state/Member.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { allowanceTerms } from './allowanceTerms.js'
import { getReclaimDelay } from './getReclaimDelay.js'
import { getEffectiveRunBound } from './getEffectiveRunBound.js'

/**
 * Tells how much of a member's allowance can still be in use at `at`.
 *
 * - `current`: all of it
 * - `lapsed`: its floor
 * - `gone`: nothing
 *
 * A member lapses once while its floor of the last time may be in use: it may have sent the
 * heartbeat that ended the lapse before it was cut off, and not know of it.
 *
 * @param at - platform clock to judge by
 *
 * @public
 */
export function getMemberLeaseState(
	state: FleetState,
	member: Member,
	at: Milliseconds
): 'current' | 'lapsed' | 'gone' {
	const sinceRenewal = at - member.renewedAt
	const floorReclaimTime = getReclaimTime(state, at, allowanceTerms.floorLease)
	if (sinceRenewal > floorReclaimTime) return 'gone'
	if (member.lapsed) return 'lapsed'
	if (sinceRenewal <= getReclaimTime(state, at, allowanceTerms.lease)) return 'current'
	return at - (member.lapsedFrom ?? -Infinity) > floorReclaimTime ? 'lapsed' : 'current'
}

function getReclaimTime(state: FleetState, at: Milliseconds, lease: Milliseconds): Milliseconds {
	return lease + getReclaimDelay(getEffectiveRunBound(state, at))
}
