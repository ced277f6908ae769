import { assert } from '../assert.js'
import { HealthView } from '../health/HealthView.js'
import type { LogEntry } from '../log/LogEntry.js'
import type { WaveStepProposal } from '../log/WaveStepProposal.js'
import type { FleetState } from '../state/FleetState.js'
import type { Placement } from '../state/Placement.js'
import type { Wave } from '../state/Wave.js'
import type { WaveOutcome } from '../state/WaveOutcome.js'
import type { WaveStepState } from '../state/WaveStepState.js'
import { AvailabilityLedger } from '../waves/AvailabilityLedger.js'
import { checkZoneOrder } from '../waves/checkZoneOrder.js'
import { isInWave } from '../waves/isInWave.js'
import { recomputeWave } from '../waves/recomputeWave.js'
import { ProposalHandler } from './ProposalHandler.js'
import { checkActivityStart } from './checkActivityStart.js'
import { setActivity } from './setActivity.js'

/**
 * Handles the steps of maintenance waves. A drain is accepted if the wave is running and below its
 * parallelism, the order of zones allows it, and the availability budget holds afterwards.
 * Maintenance begins only while the budget still holds.
 *
 * @public
 */
export class WaveStepHandler extends ProposalHandler<'wave-step'> {
	override readonly kind = 'wave-step'

	override check(state: FleetState, proposal: WaveStepProposal): string | undefined {
		const wave = state.waves.get(proposal.wave)
		if (!wave) return `unknown wave ${proposal.wave}`
		const step = wave.steps.get(proposal.backendServer)
		if (!step) return `${proposal.backendServer} is not in wave ${wave.id}`
		const placement = state.placements.get(proposal.backendServer)
		if (!placement || !matchesPlacement(wave, step, placement)) {
			return checkOrphanedStep(proposal, step)
		}
		const staleReason = checkActivityStart(placement, proposal.since, proposal.step === 'maintain')
		if (staleReason !== undefined) return staleReason
		switch (proposal.step) {
			case 'drain':
				return checkDrain(state, wave, step, proposal, placement)
			case 'maintain':
				return checkMaintain(state, wave, step, placement)
			case 'finish':
				return checkFinish(state, step, proposal)
			case 'fail':
				return step === 'maintenance' ? undefined : `its step is ${step}`
			case 'abort':
				return step === 'draining' ? undefined : `its step is ${step}`
		}
	}

	override apply(state: FleetState, proposal: WaveStepProposal, entry: LogEntry): void {
		const { backendServer } = proposal
		const wave = state.waves.get(proposal.wave)
		assert(wave, 'an accepted step must name an existing wave')
		const placement = state.placements.get(backendServer)
		const step = wave.steps.get(backendServer)
		if (!placement || !step || !matchesPlacement(wave, step, placement)) {
			const next = placement && step === 'draining' ? 'waiting' : 'skipped'
			setStep(state, wave, proposal, next)
			return
		}
		switch (proposal.step) {
			case 'drain':
				setActivity(
					state,
					backendServer,
					{ type: 'draining', reason: 'wave', wave: wave.id },
					entry
				)
				setStep(state, wave, proposal, 'draining')
				return
			case 'maintain':
				setActivity(state, backendServer, { type: 'maintenance', wave: wave.id }, entry)
				setStep(state, wave, proposal, 'maintenance')
				return
			case 'finish':
				setActivity(state, backendServer, { type: 'serving' }, entry)
				setStep(state, wave, proposal, 'done', 'finished')
				return
			case 'fail':
				setActivity(state, backendServer, { type: 'draining', reason: 'operator' }, entry)
				setStep(state, wave, proposal, 'failed', 'failed')
				return
			case 'abort':
				setActivity(state, backendServer, { type: 'serving' }, entry)
				setStep(state, wave, proposal, 'waiting')
		}
	}
}

/** Whether the placement of a backend server agrees with its step in the wave. */
function matchesPlacement(wave: Wave, step: WaveStepState, placement: Placement): boolean {
	if (step !== 'draining' && step !== 'maintenance') return true
	return isInWave(placement, wave.id, step)
}

/** Accepts only an abort for a step that an apply has left without its backend server. */
function checkOrphanedStep(proposal: WaveStepProposal, step: WaveStepState): string | undefined {
	if (proposal.step !== 'abort') return `${proposal.backendServer} left the wave`
	if (step === 'waiting' || step === 'draining' || step === 'maintenance') return undefined
	return `its step is ${step}`
}

function checkDrain(
	state: FleetState,
	wave: Wave,
	step: WaveStepState,
	{ backendServer }: WaveStepProposal,
	{ activity, pool }: Placement
): string | undefined {
	if (wave.state !== 'running') return `wave ${wave.id} is ${wave.state}`
	if (step !== 'waiting') return `its step is ${step}`
	if (activity.type !== 'serving') return `${backendServer} is already ${activity.type}`
	const inProgress = [...wave.steps.values()].filter(
		(other) => other === 'draining' || other === 'maintenance'
	)
	if (inProgress.length >= wave.parallelism)
		return `wave ${wave.id} has ${inProgress.length} out already`
	return (
		checkZoneOrder(state, wave, backendServer) ??
		new AvailabilityLedger(state, pool).checkDrain(backendServer)
	)
}

function checkMaintain(
	state: FleetState,
	wave: Wave,
	step: WaveStepState,
	{ pool }: Placement
): string | undefined {
	if (wave.state !== 'running') return `wave ${wave.id} is ${wave.state}`
	if (step !== 'draining') return `its step is ${step}`
	return new AvailabilityLedger(state, pool).checkBudget(pool)
}

function checkFinish(
	state: FleetState,
	step: WaveStepState,
	{ backendServer }: WaveStepProposal
): string | undefined {
	if (step !== 'maintenance') return `its step is ${step}`
	const health = new HealthView(state).getHealth(backendServer)
	return health === 'healthy' ? undefined : `${backendServer} is ${health}`
}

function setStep(
	state: FleetState,
	wave: Wave,
	{ backendServer }: WaveStepProposal,
	step: WaveStepState,
	outcome?: WaveOutcome['outcome']
): void {
	wave.steps.set(backendServer, step)
	const outcomes = outcome
		? [...wave.outcomes, { backendServer, at: state.at, outcome }]
		: wave.outcomes
	state.waves.set(wave.id, recomputeWave(state, { ...wave, outcomes }))
}
