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
	if (silence > getReclaimTime(state, at, allowanceTerms.floorLease)) return 'gone'
	if (member.lapsed) return 'lapsed'
	if (silence > getReclaimTime(state, at, allowanceTerms.lease)) return 'lapsed'
	return 'current'
}

function getReclaimTime(state: FleetState, at: Milliseconds, lease: Milliseconds): Milliseconds {
	return lease + getReclaimDelay(getRunBound(state, at))
}
