import type { TeamId } from '../ids/TeamId.js'
import { computeMaxMinShares } from '../scheduling/computeMaxMinShares.js'
import type { Milliseconds } from '../time/Milliseconds.js'

const MILLISECONDS_PER_SECOND = 1000

/** Time constant of the exponential decay of past deficits. */
const DEFICIT_DECAY_MILLISECONDS = 5000

/** Slots added to the deficit of a team for each second that it ran one slot below its share. */
const DEFICIT_GAIN_PER_SECOND = 3

/** Longest time between two updates that counts towards past deficits. */
const MAXIMUM_STEP_MILLISECONDS = 1000

/**
 * Slots that a team uses and requests, and its weight.
 *
 * @internal
 */
interface TeamUsage {
	readonly running: number
	readonly requested: number
	readonly weight: number
}

/**
 * Tracks how far each team is below its weighted max-min share of a pool. The deficit includes the
 * recent past, so that a share that is not a whole number of slots is reached on average.
 *
 * @internal
 */
export class FairShareTracker {
	private fairShares = new Map<TeamId, number>()
	private readonly pastDeficits = new Map<TeamId, number>()
	private updatedAt: Milliseconds | undefined

	/** Adds the time since the last update to the past deficits, and updates the shares. */
	update(now: Milliseconds, capacity: number, usages: ReadonlyMap<TeamId, TeamUsage>): void {
		this.updatePastDeficits(now, usages)
		const demands = new Map<TeamId, { demand: number; weight: number }>()
		for (const [team, { running, requested, weight }] of usages) {
			demands.set(team, { demand: running + requested, weight })
		}
		this.fairShares = computeMaxMinShares(capacity, demands)
	}

	/** Returns the deficit of a team in slots; negative if the team is above its share. */
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
		for (const [team, { running, requested }] of usages) {
			const fairShare = this.fairShares.get(team) ?? 0
			// A team that requests no further slot is not short, but it can be above its share.
			const shortfall = requested > 0 || running > fairShare ? fairShare - running : 0
			const decayed = (this.pastDeficits.get(team) ?? 0) * decay
			this.pastDeficits.set(team, decayed + (shortfall * step) / MILLISECONDS_PER_SECOND)
		}
	}
}
