import { applyFleetPatch } from '../fleet/applyFleetPatch.js'
import { fleetPatchSchema } from '../fleet/fleetPatchSchema.js'
import { formatFleetProblem } from '../fleet/formatFleetProblem.js'
import { getFleet } from '../fleet/getFleet.js'
import { getFleetProblems } from '../fleet/getFleetProblems.js'
import { getSchemaProblems } from '../fleet/getSchemaProblems.js'
import type { TablePatch } from '../fleet/TablePatch.js'
import type { ApplyProposal } from '../log/ApplyProposal.js'
import type { LogEntry } from '../log/LogEntry.js'
import type { FleetState } from '../state/FleetState.js'
import { getNextRunBounds } from './getNextRunBounds.js'
import { getPatchProblem } from './getPatchProblem.js'
import { ProposalHandler } from './ProposalHandler.js'
import { withdrawKey } from './withdrawKey.js'

function applyTable<Row extends { readonly name: string }>(
	table: Map<Row['name'], Row>,
	patch: TablePatch<Row>
): void {
	for (const name of patch.remove) table.delete(name)
	for (const row of patch.put) table.set(row.name, row)
}

/**
 * Applies fleet documents. A document is accepted if its base is the current version, the resulting
 * fleet is valid, and it removes no backend server that a move, a wave or an availability budget
 * still needs.
 *
 * @internal
 */
export class ApplyHandler extends ProposalHandler<'apply'> {
	override readonly kind = 'apply'

	override check(state: FleetState, { base, patch }: ApplyProposal): string | undefined {
		if (base !== state.version) {
			return `version ${base} was replaced; version ${state.version} is in force`
		}
		const parsed = fleetPatchSchema.safeParse(patch)
		if (!parsed.success) return getSchemaProblems(parsed.error).map(formatFleetProblem).join('; ')
		const fleet = applyFleetPatch(getFleet(state), patch)
		const problems = getFleetProblems(fleet)
		if (problems.length > 0) return problems.map(formatFleetProblem).join('; ')
		return getPatchProblem(state, patch, fleet)
	}

	override apply(state: FleetState, { patch }: ApplyProposal, entry: LogEntry): void {
		state.version = entry.offset + 1
		state.name = patch.name
		state.availabilityZones = patch.availabilityZones
		applyTable(state.pools, patch.pools)
		applyTable(state.queues, patch.queues)
		applyTable(state.teams, patch.teams)
		applyTable(state.backendServers, patch.backendServers)
		this.updatePlacements(state)
		this.updateKeys(state)
		this.updateRunBounds(state)
	}

	/** Keeps existing placements: the pool in the document applies to new backend servers only. */
	private updatePlacements(state: FleetState): void {
		for (const name of state.placements.keys()) {
			if (!state.backendServers.has(name)) state.placements.delete(name)
		}
		for (const { name, pool } of state.backendServers.values()) {
			if (state.placements.has(name)) continue
			state.placements.set(name, { pool, health: 'healthy', activity: { type: 'serving' } })
		}
	}

	/** Withdraws the keys of removed teams, so that a later team of the same name does not get them. */
	private updateKeys(state: FleetState): void {
		for (const key of state.keys.values()) {
			if (key.state === 'active' && !state.teams.has(key.team)) withdrawKey(state, key.id)
		}
	}

	private updateRunBounds(state: FleetState): void {
		let runMilliseconds = 0
		for (const queue of state.queues.values()) {
			runMilliseconds = Math.max(runMilliseconds, queue.runMilliseconds)
		}
		state.runBounds = getNextRunBounds(state.runBounds, runMilliseconds, state.at)
	}
}
