import type { BackendRow } from './BackendRow.js'
import type { ReadyStep } from './ReadyStep.js'
import { BackendScorer } from './BackendScorer.js'

/** A place near the data, or beside the rest of its gang, goes before any other wish. */
const LOCALITY_BONUS = 10
/** Work that fills and work that serves users are kept apart while there is another place. */
const INTERFERENCE_PENALTY = 5
/** A server takes at most this share of the tasks of a lasting step while there is another. */
const MAXIMUM_LASTING_SHARE = 0.5
const CROWDING_PENALTY = 3
/** Lasting tasks go where others last: what is free of them can be emptied quickly. */
const LASTING_BONUS = 1

/**
 * Near the data and the rest of the step first, then where most is in use already, so that the
 * other machines fall idle and can be given to another pool.
 *
 * @public
 */
export class BinPackingScorer extends BackendScorer {
	override getScore(run: ReadyStep, backend: BackendRow): number {
		const { capacity, used } = backend
		let score = capacity.cpu > 0 ? used.cpu / capacity.cpu : 0
		if (run.step.dataRack !== '' && backend.labels.includes(run.step.dataRack))
			score += LOCALITY_BONUS
		if (run.step.sameRack) score += LOCALITY_BONUS * getMemberShare(run, backend)
		if (wouldInterfere(run, backend)) score -= INTERFERENCE_PENALTY
		if (run.step.lasting) score += getLastingScore(run, backend)
		return score
	}
}

/** Share of the placed members that are on this server. */
function getMemberShare(run: ReadyStep, backend: BackendRow): number {
	const placed = run.members.filter((member) => member.backend !== undefined)
	if (placed.length === 0) return 0
	return placed.filter((member) => member.backend === backend.id).length / placed.length
}

function getLastingScore(run: ReadyStep, backend: BackendRow): number {
	const here = run.members.filter((member) => member.backend === backend.id).length
	if (here >= run.members.length * MAXIMUM_LASTING_SHARE) return -CROWDING_PENALTY
	for (const task of backend.tasks.values()) if (task.step.lasting) return LASTING_BONUS
	return 0
}

function wouldInterfere(run: ReadyStep, backend: BackendRow): boolean {
	const serves = run.step.targetLatency > 0
	if (!serves && !run.step.fills) return false
	for (const task of backend.tasks.values()) {
		if (serves ? task.step.fills : task.step.targetLatency > 0) return true
	}
	return false
}
