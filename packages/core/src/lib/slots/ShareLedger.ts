import type { TeamId } from '../ids/TeamId.js'
import { computeMaxMinShares } from '../scheduling/computeMaxMinShares.js'
import type { Milliseconds } from '../time/Milliseconds.js'

const MILLISECONDS_PER_SECOND = 1000

/** Time constant with which past distances from the share are forgotten. */
const MEMORY_MILLISECONDS = 5000

/** Slots that a second spent one slot below the share is worth. */
const GAIN_PER_SECOND = 3

/** Longest step that is added to the past at once. */
const MAXIMUM_STEP_MILLISECONDS = 1000

/**
 * What a team runs and asks for.
 *
 * @internal
 */
interface TeamUse {
	readonly running: number
	readonly wished: number
	readonly weight: number
}

/**
 * How far each team is from its weighted max-min share of a pool, the recent past included, so that
 * shares that are no whole number of slots are met on average.
 *
 * @internal
 */
export class ShareLedger {
	private parts = new Map<TeamId, number>()
	private readonly owed = new Map<TeamId, number>()
	private updatedAt: Milliseconds | undefined

	/** Takes what ran since the last update, and what runs and is asked for now. */
	update(now: Milliseconds, capacity: number, uses: ReadonlyMap<TeamId, TeamUse>): void {
		this.addPast(now, uses)
		const demands = new Map<TeamId, { demand: number; weight: number }>()
		for (const [team, { running, wished, weight }] of uses) {
			demands.set(team, { demand: running + wished, weight })
		}
		this.parts = computeMaxMinShares(capacity, demands)
	}

	/** Slots that a team should get before others; negative when it has more than its share. */
	getDeficit(team: TeamId, running: number): number {
		const owed = (this.owed.get(team) ?? 0) * GAIN_PER_SECOND
		return (this.parts.get(team) ?? 0) + owed - running
	}

	private addPast(now: Milliseconds, uses: ReadonlyMap<TeamId, TeamUse>): void {
		const step = Math.min(now - (this.updatedAt ?? now), MAXIMUM_STEP_MILLISECONDS)
		this.updatedAt = now
		if (step === 0) return
		const kept = Math.exp(-step / MEMORY_MILLISECONDS)
		for (const team of this.owed.keys()) if (!uses.has(team)) this.owed.delete(team)
		for (const [team, { running, wished }] of uses) {
			const part = this.parts.get(team) ?? 0
			const missed = wished > 0 || running > part ? part - running : 0
			const owed = (this.owed.get(team) ?? 0) * kept
			this.owed.set(team, owed + (missed * step) / MILLISECONDS_PER_SECOND)
		}
	}
}
