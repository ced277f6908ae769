import type { BackendServerId } from '../ids/BackendServerId.js'
import type { FleetState } from '../state/FleetState.js'
import type { Wave } from '../state/Wave.js'
import type { WaveStepState } from '../state/WaveStepState.js'
import type { AvailabilityLedger } from '../waves/AvailabilityLedger.js'
import { checkZoneOrder } from '../waves/checkZoneOrder.js'
import type { WaveStatus } from './WaveStatus.js'

/**
 * Returns the status of a wave and what blocks its next backend server.
 *
 * @public
 */
export function getWaveStatus(
	state: FleetState,
	wave: Wave,
	ledger: AvailabilityLedger
): WaveStatus {
	const steps: Record<WaveStepState, number> = {
		waiting: 0,
		draining: 0,
		maintenance: 0,
		done: 0,
		failed: 0,
		skipped: 0,
	}
	for (const step of wave.steps.values()) steps[step] += 1
	const serversOut = getServersInState(wave, ['draining', 'maintenance'])
	const row = { wave: wave.id, state: wave.state, reason: wave.reason, steps, out: serversOut }
	const next = getServersInState(wave, ['waiting'])[0]
	if (next === undefined || wave.state === 'aborted') return row
	const waitsFor = getWaitReason(state, wave, next, ledger, serversOut.length)
	return { ...row, next: { backendServer: next, waitsFor } }
}

function getServersInState(wave: Wave, states: readonly WaveStepState[]): BackendServerId[] {
	return [...wave.steps].filter(([, step]) => states.includes(step)).map(([server]) => server)
}

function getWaitReason(
	state: FleetState,
	wave: Wave,
	next: BackendServerId,
	ledger: AvailabilityLedger,
	outCount: number
): string {
	if (wave.state === 'paused') return `the wave is paused: ${wave.reason}`
	if (outCount >= wave.parallelism)
		return `${outCount} of ${wave.parallelism} backend servers are out`
	const activity = state.placements.get(next)?.activity.type
	if (activity === undefined) return 'it is not in the fleet'
	if (activity !== 'serving') return `it is ${activity} for something else`
	const reason = checkZoneOrder(state, wave, next) ?? ledger.checkDrain(next)
	return reason ?? 'nothing; its step is about to be proposed'
}
