import type { FleetState } from '../state/FleetState.js'
import type { Wave } from '../state/Wave.js'
import { waveFailureWindow } from './waveFailureWindow.js'

/**
 * Recomputes the state of a wave from its steps and outcomes. Drops outcomes older than the failure
 * window, pauses the wave when its failures exceed its limit, and ends it when no step is left.
 *
 * @public
 */
export function recomputeWave(state: FleetState, wave: Wave): Wave {
	const outcomes = wave.outcomes.filter((row) => state.at - row.at <= waveFailureWindow)
	const current = { ...wave, outcomes }
	if (wave.state === 'aborted' || wave.state === 'done') return current
	if (!hasStepsLeft(wave)) return { ...current, state: 'done', reason: '' }
	const failures = outcomes.filter((row) => row.outcome === 'failed').length
	if (wave.state === 'paused' || failures <= wave.failureLimit) return current
	return {
		...current,
		state: 'paused',
		reason: `${failures} failed within the failure window, limit ${wave.failureLimit}`,
	}
}

function hasStepsLeft(wave: Wave): boolean {
	for (const step of wave.steps.values()) {
		if (step === 'waiting' || step === 'draining' || step === 'maintenance') return true
	}
	return false
}
