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
		const { running, queued, peak } = situation
		const level = getLevel(situation)
		const kept = getKept(situation, level)
		const needed = level === Infinity ? peak : running + queued
		return {
			delta: getLedgerDelta(situation),
			maximum: isInForce(situation) ? kept : situation.evenShare,
			keep: Math.min(needed, kept),
			loans: isInForce(situation) ? chooseLenders(situation, level) : [],
		}
	}

	override getLendable(situation: TeamSituation): number {
		const { capacity, free, running, queued, isNext } = situation
		if (!isInForce(situation)) return 0
		const level = getLevel(situation)
		const part = level < 1 && !isNext ? 0 : Math.ceil(level)
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

function getKept({ capacity, reserved, isNext }: TeamSituation, level: number): number {
	if (reserved === 0) return Infinity
	if (level < 1) return isNext ? 1 : 0
	return Math.max(Math.floor(level), capacity - reserved)
}

/**
 * Asks members with free units for what the fair level rounded up leaves wanted, and members that
 * run more than it for what the level rounded down does, so that single units do not go round.
 */
function chooseLenders(
	{ peers, running, queued, capacity }: TeamSituation,
	level: number
): { lender: string; amount: number }[] {
	const demand = running + queued
	const free = peers.map((peer) => ({ peer, amount: peer.free }))
	const wanted = Math.min(demand, Math.ceil(level)) - capacity
	const chosen = choose(free, wanted)
	if (chosen.length > 0) return chosen
	const part = level < 1 ? 0 : Math.ceil(level)
	const above = peers.map((peer) => ({ peer, amount: peer.running - part }))
	return choose(above, Math.min(demand, Math.max(1, Math.floor(level))) - capacity)
}

function choose(
	offers: { readonly peer: PeerLoad; readonly amount: number }[],
	wanted: number
): { lender: string; amount: number }[] {
	const chosen: { lender: string; amount: number }[] = []
	let left = wanted
	for (const { peer, amount } of offers.sort((a, b) => b.amount - a.amount)) {
		if (left <= 0 || amount <= 0) break
		const asked = Math.min(left, amount)
		chosen.push({ lender: peer.instance, amount: asked })
		left -= asked
	}
	return chosen
}
