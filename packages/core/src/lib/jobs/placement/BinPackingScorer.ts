import type { BackendRow } from '../BackendRow.js'
import type { ReadyStep } from './ReadyStep.js'
import { BackendScorer } from './BackendScorer.js'

/** Bonus for a server near the data or the rest of the step; outweighs all other terms. */
const LOCALITY_BONUS = 10
/** Penalty for placing best-effort tasks and tasks that serve users on the same server. */
const INTERFERENCE_PENALTY = 5
/** Penalty for a server that still runs tasks slowly after its start; outweighs how full servers are. */
const WARMUP_PENALTY = 2
/** Maximum share of a lasting step's tasks on one server while another server has room. */
const MAXIMUM_LASTING_SHARE = 0.5
/** Penalty for a server that already holds this share. */
const CROWDING_PENALTY = 3
/** Bonus for grouping lasting tasks, since servers without them drain quickly. */
const LASTING_BONUS = 1

/**
 * Prefers servers near the data and the rest of the step, then those at full speed, then the fullest, so that the
 * remaining machines become idle and can move to another pool.
 *
 * @public
 */
export class BinPackingScorer extends BackendScorer {
	override getScore(readyStep: ReadyStep, backend: BackendRow): number {
		const { capacity, used } = backend
		let score = capacity.cpu > 0 ? used.cpu / capacity.cpu : 0
		if (readyStep.step.dataRack !== '' && backend.labels.includes(readyStep.step.dataRack))
			score += LOCALITY_BONUS
		if (readyStep.step.sameRack) score += LOCALITY_BONUS * getMemberShare(readyStep, backend)
		if (backend.warmupLeft > 0) score -= WARMUP_PENALTY
		if (wouldInterfere(readyStep, backend)) score -= INTERFERENCE_PENALTY
		if (readyStep.step.lasting) score += getLastingScore(readyStep, backend)
		return score
	}
}

/** Returns the share of the step's placed tasks that are on this server. */
function getMemberShare(readyStep: ReadyStep, backend: BackendRow): number {
	const placed = readyStep.members.filter((member) => member.backend !== undefined)
	if (placed.length === 0) return 0
	return placed.filter((member) => member.backend === backend.id).length / placed.length
}

function getLastingScore(readyStep: ReadyStep, backend: BackendRow): number {
	const tasksHere = readyStep.members.filter((member) => member.backend === backend.id).length
	if (tasksHere >= readyStep.members.length * MAXIMUM_LASTING_SHARE) return -CROWDING_PENALTY
	for (const task of backend.tasks.values()) if (task.step.lasting) return LASTING_BONUS
	return 0
}

/** Whether the step would share the server with tasks that it disturbs or that disturb it. */
function wouldInterfere(readyStep: ReadyStep, backend: BackendRow): boolean {
	const servesUsers = readyStep.step.targetLatency > 0
	if (!servesUsers && !readyStep.step.fills) return false
	for (const task of backend.tasks.values()) {
		if (servesUsers ? task.step.fills : task.step.targetLatency > 0) return true
	}
	return false
}
