import type { FleetState } from '../state/FleetState.js'
import type { Member } from '../state/Member.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { allowanceTerms } from './allowanceTerms.js'
import { getReclaimDelay } from './getReclaimDelay.js'
import { getEffectiveRunBound } from './getEffectiveRunBound.js'

/**
 * Returns how much of a member's allowance can still be in use at `at`.
 *
 * - `current`: all of it
 * - `lapsed`: its floor
 * - `expired`: nothing
 *
 * A member does not lapse a second time while the floor from its last lapse may still be in use. It
 * may have sent the heartbeat that ended that lapse, then lost contact with the log, and not know
 * that it had lapsed.
 *
 * @param at - platform clock, in milliseconds
 *
 * @public
 */
export function getMemberLeaseState(
	state: FleetState,
	member: Member,
	at: Milliseconds
): 'current' | 'lapsed' | 'expired' {
	const sinceRenewal = at - member.renewedAt
	const floorReclaimTime = getReclaimTime(state, at, allowanceTerms.floorLease)
	if (sinceRenewal > floorReclaimTime) return 'expired'
	if (member.lapsed) return 'lapsed'
	if (sinceRenewal <= getReclaimTime(state, at, allowanceTerms.lease)) return 'current'
	return at - (member.lapsedFrom ?? -Infinity) > floorReclaimTime ? 'lapsed' : 'current'
}

function getReclaimTime(state: FleetState, at: Milliseconds, lease: Milliseconds): Milliseconds {
	return lease + getReclaimDelay(getEffectiveRunBound(state, at))
}
