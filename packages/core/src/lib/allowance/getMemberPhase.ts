import type { FleetState } from '../state/FleetState.js'
import type { Member } from '../state/Member.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { allowanceTerms } from './allowanceTerms.js'
import { getReclaimDelay } from './getReclaimDelay.js'
import { getRunBound } from './getRunBound.js'

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
export function getMemberPhase(
	state: FleetState,
	member: Member,
	at: Milliseconds
): 'current' | 'lapsed' | 'gone' {
	const silence = at - member.renewedAt
	const floorTime = getReclaimTime(state, at, allowanceTerms.floorLease)
	if (silence > floorTime) return 'gone'
	if (member.lapsed) return 'lapsed'
	if (silence <= getReclaimTime(state, at, allowanceTerms.lease)) return 'current'
	return at - (member.lapsedFrom ?? -Infinity) > floorTime ? 'lapsed' : 'current'
}

function getReclaimTime(state: FleetState, at: Milliseconds, lease: Milliseconds): Milliseconds {
	return lease + getReclaimDelay(getRunBound(state, at))
}
