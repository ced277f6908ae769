import type { BackendRow } from './BackendRow.js'
import type { StepRun } from './StepRun.js'
import { BackendChoice } from './BackendChoice.js'

/** A place near the data, or beside the rest of its gang, goes before any free capacity. */
const NEAR_BONUS = 10
/** Work that fills and work that serves users are kept apart while there is another place. */
const DISTURBANCE_PENALTY = 5

/**
 * Near the data and the rest of the step first, then where most capacity is free.
 *
 * @public
 */
export class SpreadChoice extends BackendChoice {
	override getScore(run: StepRun, backend: BackendRow): number {
		const { capacity, used } = backend
		let score = capacity.cpu > 0 ? 1 - used.cpu / capacity.cpu : 0
		if (run.step.dataRack !== '' && backend.labels.includes(run.step.dataRack)) score += NEAR_BONUS
		if (run.step.sameRack) score += NEAR_BONUS * getSharedRack(run, backend)
		if (isDisturbed(run, backend)) score -= DISTURBANCE_PENALTY
		return score
	}
}

/** Share of the placed members whose backend server has all labels of this one. */
function getSharedRack(run: StepRun, backend: BackendRow): number {
	const placed = run.members.filter((member) => member.backend !== undefined)
	if (placed.length === 0) return 0
	const here = placed.filter((member) => member.backend === backend.id)
	return here.length / placed.length
}

function isDisturbed(run: StepRun, backend: BackendRow): boolean {
	const serves = run.step.targetLatency > 0
	if (!serves && !run.step.fills) return false
	for (const task of backend.tasks.values()) {
		if (serves ? task.step.fills : task.step.targetLatency > 0) return true
	}
	return false
}
