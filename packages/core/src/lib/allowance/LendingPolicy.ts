import { AllowancePolicy } from './AllowancePolicy.js'
import { getFairLevel } from './getFairLevel.js'
import { getEvenSplitDelta } from './getEvenSplitDelta.js'
import type { PeerLoad } from './PeerLoad.js'
import type { TeamPlan } from './TeamPlan.js'
import type { TeamSituation } from './TeamSituation.js'

/**
 * Splits the limit evenly in the log, and lends free units to members with more demand. If the total
 * demand exceeds the limit, a member keeps its max-min fair share; if the limit is smaller than the
 * number of members with demand, they take turns.
 *
 * @public
 */
export class LendingPolicy extends AllowancePolicy {
	override plan(situation: TeamSituation): TeamPlan {
		const { running, queued, peak } = situation
		const level = getTeamFairLevel(situation)
		const keptCapacity = getKeptCapacity(situation, level)
		// While all demands fit into the limit, there is room to keep capacity for the recent peak.
		const needed = level === Infinity ? peak : running + queued
		return {
			delta: getEvenSplitDelta(situation),
			maximumRunning: isWithinLimit(situation) ? keptCapacity : situation.evenShare,
			targetCapacity: Math.min(needed, keptCapacity),
			loans: isWithinLimit(situation) ? chooseLenders(situation, level) : [],
		}
	}

	override getLendableUnits(situation: TeamSituation): number {
		const { capacity, free, running, queued, isNextInTurn } = situation
		if (!isWithinLimit(situation)) return 0
		const level = getTeamFairLevel(situation)
		const fairShare = level < 1 && !isNextInTurn ? 0 : Math.ceil(level)
		const need = Math.min(running + queued, fairShare)
		return Math.max(0, Math.min(free, capacity - need))
	}
}

/** Returns the max-min fair level of the team over the member and its peers. */
function getTeamFairLevel({ limit, running, queued, peers }: TeamSituation): number {
	const demands = peers.map((peer) => peer.running + peer.queued)
	return getFairLevel(limit, [running + queued, ...demands])
}

function isWithinLimit({ limit, total }: TeamSituation): boolean {
	return total <= limit
}

/** Returns the capacity that the member keeps while others wait for units; Infinity if none waits. */
function getKeptCapacity(
	{ capacity, reserved, isNextInTurn }: TeamSituation,
	level: number
): number {
	if (reserved === 0) return Infinity
	if (level < 1) return isNextInTurn ? 1 : 0
	return Math.max(Math.floor(level), capacity - reserved)
}

/**
 * Chooses the members to borrow from. Asks members with free units, up to the fair level rounded up.
 * If there are none, asks members that run more than the fair level, up to the level rounded down;
 * rounding up there would pass single units back and forth between members.
 */
function chooseLenders(
	{ peers, running, queued, capacity }: TeamSituation,
	level: number
): { lender: string; amount: number }[] {
	const demand = running + queued
	const freeOffers = peers.map((peer) => ({ peer, amount: peer.free }))
	const needed = Math.min(demand, Math.ceil(level)) - capacity
	const lendersWithFreeUnits = selectLenders(freeOffers, needed)
	if (lendersWithFreeUnits.length > 0) return lendersWithFreeUnits
	const fairShare = level < 1 ? 0 : Math.ceil(level)
	const offersAboveFairShare = peers.map((peer) => ({ peer, amount: peer.running - fairShare }))
	return selectLenders(
		offersAboveFairShare,
		Math.min(demand, Math.max(1, Math.floor(level))) - capacity
	)
}

function selectLenders(
	offers: { readonly peer: PeerLoad; readonly amount: number }[],
	units: number
): { lender: string; amount: number }[] {
	const selected: { lender: string; amount: number }[] = []
	let remaining = units
	for (const { peer, amount } of offers.sort((a, b) => b.amount - a.amount)) {
		if (remaining <= 0 || amount <= 0) break
		const requested = Math.min(remaining, amount)
		selected.push({ lender: peer.instance, amount: requested })
		remaining -= requested
	}
	return selected
}
