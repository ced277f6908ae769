import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'

/** Time in which a past peak counts half. */
const PEAK_HALF_LIFE: Milliseconds = 1000

interface Peak {
	readonly value: number
	readonly at: Milliseconds
}

/**
 * Recent peak of the demand of each team, decaying exponentially.
 *
 * @internal
 */
export class DemandPeaks {
	private readonly peaks = new Map<TeamId, Peak>()

	constructor(private readonly timerService: TimerService) {}

	/** Whether the team had demand lately. */
	hasDemand(team: TeamId): boolean {
		return this.peaks.has(team)
	}

	/** Notes the demand of a team now, in units, and gives its peak. */
	update(team: TeamId, demand: number): number {
		const at = this.timerService.now()
		const last = this.peaks.get(team)
		const decayed = last ? last.value * 0.5 ** ((at - last.at) / PEAK_HALF_LIFE) : 0
		const value = decayed < 0.5 ? demand : Math.max(demand, decayed)
		if (value === 0) this.peaks.delete(team)
		else this.peaks.set(team, { value, at })
		return value
	}
}
