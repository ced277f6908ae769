import type { TeamId } from '../ids/TeamId.js'
import { computeMaxMinShares } from '../scheduling/computeMaxMinShares.js'
import type { Milliseconds } from '../time/Milliseconds.js'

const MILLISECONDS_PER_SECOND = 1000

/** Time constant with which past distances from the share are forgotten. */
const DEFICIT_DECAY_MILLISECONDS = 5000

/** Slots that a second spent one slot below the share is worth. */
const DEFICIT_GAIN_PER_SECOND = 3

/** Longest step that is added to the past at once. */
const MAXIMUM_STEP_MILLISECONDS = 1000

/**
 * What a team runs and asks for.
 *
 * @internal
 */
interface TeamUsage {
	readonly running: number
	readonly requested: number
	readonly weight: number
}

/**
 * How far each team is from its weighted max-min share of a pool, the recent past included, so that
 * shares that are no whole number of slots are met on average.
 *
 * @internal
 */
export class FairShareTracker {
	private fairShares = new Map<TeamId, number>()
	private readonly pastDeficits = new Map<TeamId, number>()
	private updatedAt: Milliseconds | undefined

	/** Takes what ran since the last update, and what runs and is asked for now. */
	update(now: Milliseconds, capacity: number, usages: ReadonlyMap<TeamId, TeamUsage>): void {
		this.updatePastDeficits(now, usages)
		const demands = new Map<TeamId, { demand: number; weight: number }>()
		for (const [team, { running, requested: wished, weight }] of usages) {
			demands.set(team, { demand: running + wished, weight })
		}
		this.fairShares = computeMaxMinShares(capacity, demands)
	}

	/** Slots that a team should get before others; negative when it has more than its share. */
	getDeficit(team: TeamId, running: number): number {
		const correction = (this.pastDeficits.get(team) ?? 0) * DEFICIT_GAIN_PER_SECOND
		return (this.fairShares.get(team) ?? 0) + correction - running
	}

	private updatePastDeficits(now: Milliseconds, usages: ReadonlyMap<TeamId, TeamUsage>): void {
		const step = Math.min(now - (this.updatedAt ?? now), MAXIMUM_STEP_MILLISECONDS)
		this.updatedAt = now
		if (step === 0) return
		const decay = Math.exp(-step / DEFICIT_DECAY_MILLISECONDS)
		for (const team of this.pastDeficits.keys())
			if (!usages.has(team)) this.pastDeficits.delete(team)
		for (const [team, { running, requested: wished }] of usages) {
			const fairShare = this.fairShares.get(team) ?? 0
			const shortfall = wished > 0 || running > fairShare ? fairShare - running : 0
			const decayed = (this.pastDeficits.get(team) ?? 0) * decay
			this.pastDeficits.set(team, decayed + (shortfall * step) / MILLISECONDS_PER_SECOND)
		}
	}
}
