import type { WaveProgress } from './WaveProgress.js'
import type { WaveRow } from './WaveRow.js'

/**
 * Creates the record of a maintenance wave's progress, from which the next owner goes on.
 *
 * @param clockOffset - wall time minus the monotonic clock, in milliseconds
 * @internal
 */
export function createWaveProgress(
	{ ordered, done, receivedAt, reported, missingTimes, evacuating, earlierEvacuations }: WaveRow,
	clockOffset: number
): WaveProgress {
	const begun = [...evacuating].map(([machine, since]) => [machine, since + clockOffset] as const)
	return {
		ordered: [...ordered],
		done: [...done],
		receivedAt,
		reported,
		missingTimes: Object.fromEntries(missingTimes),
		evacuatingSince: Object.fromEntries([...earlierEvacuations, ...begun]),
	}
}
