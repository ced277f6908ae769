import { AllowancePolicy } from './AllowancePolicy.js'
import { getFairLevel } from './getFairLevel.js'
import { getLedgerDelta } from './getLedgerDelta.js'
import type { PeerLoad } from './PeerLoad.js'
import type { TeamPlan } from './TeamPlan.js'
import type { TeamSituation } from './TeamSituation.js'

/**
 * Splits the limit evenly in the ledger and lends what is free to the members in need. When not
 * every need fits, a member keeps its max-min fair part; when the limit is smaller than the
 * number of members in need, they take turns.
 *
 * @public
 */
export class LendingPolicy extends AllowancePolicy {
	override plan(situation: TeamSituation): TeamPlan {
		const { capacity, queued, peak, running } = situation
		const level = getLevel(situation)
		const keep = Math.min(peak, getKept(situation, level))
		const wanted = Math.min(running + queued, getEntitled(level)) - capacity
		const loans = wanted > 0 && isInForce(situation) ? chooseLenders(situation, level, wanted) : []
		return { delta: getLedgerDelta(situation), maximum: getMaximum(situation, level), keep, loans }
	}

	override getLendable(situation: TeamSituation): number {
		const { capacity, free, running, queued, isNext } = situation
		if (!isInForce(situation)) return 0
		const level = getLevel(situation)
		const part = level < 1 && isNext ? 1 : Math.floor(level)
		const need = Math.min(running + queued, part)
		return Math.max(0, Math.min(free, capacity - need))
	}
}

function getLevel({ limit, running, queued, peers }: TeamSituation): number {
	const demands = peers.map((peer) => peer.running + peer.queued)
	return getFairLevel(limit, [running + queued, ...demands])
}

function isInForce({ limit, total }: TeamSituation): boolean {
	return total <= limit
}

/** Units that a member may hold when all needs at the level are met. */
function getEntitled(level: number): number {
	return Math.ceil(level)
}

function getKept(situation: TeamSituation, level: number): number {
	const { capacity, reserved, isNext } = situation
	if (reserved === 0) return Infinity
	if (level < 1) return isNext ? 1 : 0
	return Math.max(Math.floor(level), capacity - reserved)
}

function getMaximum(situation: TeamSituation, level: number): number {
	if (!isInForce(situation)) return situation.evenShare
	return getKept(situation, level)
}

/** Asks members with free units first, then those that run more than their part. */
function chooseLenders(
	{ peers }: TeamSituation,
	level: number,
	wanted: number
): { lender: string; amount: number }[] {
	const offers = peers.map((peer) => ({ peer, amount: getOffer(peer, level) }))
	offers.sort((a, b) => b.amount - a.amount)
	const chosen: { lender: string; amount: number }[] = []
	let left = wanted
	for (const { peer, amount } of offers) {
		if (left <= 0 || amount <= 0) break
		const asked = Math.min(left, amount)
		chosen.push({ lender: peer.instance, amount: asked })
		left -= asked
	}
	return chosen
}

function getOffer(peer: PeerLoad, level: number): number {
	if (peer.free > 0) return peer.free
	const part = level < 1 ? 0 : Math.floor(level)
	return Math.max(0, peer.running - part)
}
