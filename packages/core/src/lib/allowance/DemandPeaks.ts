import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'

/** Time in which a past peak decays to half its value. */
const PEAK_HALF_LIFE: Milliseconds = 1000

interface Peak {
	readonly value: number
	readonly at: Milliseconds
}

/**
 * Tracks the recent peak demand of each team, which decays exponentially.
 *
 * @internal
 */
export class DemandPeaks {
	private readonly peaks = new Map<TeamId, Peak>()

	constructor(private readonly timers: TimerService) {}

	/** Whether the team had demand recently. */
	hasDemand(team: TeamId): boolean {
		return this.peaks.has(team)
	}

	/** Records the current demand of a team, in units, and returns its peak. */
	update(team: TeamId, demand: number): number {
		const at = this.timers.now()
		const last = this.peaks.get(team)
		const decayed = last ? last.value * 0.5 ** ((at - last.at) / PEAK_HALF_LIFE) : 0
		const value = decayed < 0.5 ? demand : Math.max(demand, decayed)
		if (value === 0) this.peaks.delete(team)
		else this.peaks.set(team, { value, at })
		return value
	}
}
