import { HealthView } from '../health/HealthView.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { InstanceId } from '../ids/InstanceId.js'
import type { HealthProposal } from '../log/HealthProposal.js'
import type { FleetState } from '../state/FleetState.js'
import { recomputeWave } from '../waves/recomputeWave.js'
import { ProposalHandler } from './ProposalHandler.js'

/**
 * Handles health reports of entry instances. A report counts until its reporter withdraws it or the
 * reporter's lease lapses. An empty report updates the verdicts that changed because a lease lapsed.
 *
 * @public
 */
export class HealthHandler extends ProposalHandler<'health'> {
	override readonly kind = 'health'

	override check(state: FleetState, proposal: HealthProposal): string | undefined {
		if (!state.members.has(proposal.instance)) return `${proposal.instance} is not a member`
		return undefined
	}

	override apply(state: FleetState, proposal: HealthProposal): void {
		for (const backendServer of proposal.failed)
			setReport(state, backendServer, proposal.instance, true)
		for (const backendServer of proposal.healthy)
			setReport(state, backendServer, proposal.instance, false)
		const failed = updateHealth(state)
		if (failed.size > 0) recordWaveFailures(state, failed)
	}
}

function setReport(
	state: FleetState,
	backendServer: BackendServerId,
	instance: InstanceId,
	isFailed: boolean
): void {
	const placement = state.placements.get(backendServer)
	if (!placement) return
	const others = (placement.reports ?? []).filter(
		(reporter) => reporter !== instance && state.members.has(reporter)
	)
	const reports = isFailed ? [...others, instance] : others
	state.placements.set(backendServer, {
		...placement,
		reports: reports.length > 0 ? reports : undefined,
	})
}

/** Updates the stored health of the backend servers and returns those that have newly failed. */
function updateHealth(state: FleetState): ReadonlySet<BackendServerId> {
	const view = new HealthView(state)
	const failed = new Set<BackendServerId>()
	for (const [backendServer, placement] of state.placements) {
		if (placement.health === 'healthy' && !placement.reports) continue
		const health = view.getHealth(backendServer) === 'failed' ? 'failed' : 'healthy'
		if (health === placement.health) continue
		if (health === 'failed') failed.add(backendServer)
		state.placements.set(backendServer, { ...placement, health })
	}
	return failed
}

function recordWaveFailures(state: FleetState, failed: ReadonlySet<BackendServerId>): void {
	for (const wave of state.waves.values()) {
		const outcomes = wave.outcomes.map((row) =>
			failed.has(row.backendServer) ? { ...row, outcome: 'failed' as const } : row
		)
		state.waves.set(wave.id, recomputeWave(state, { ...wave, outcomes }))
	}
}
