import type { BackendRow } from '../BackendRow.js'
import type { ReadyStep } from './ReadyStep.js'
import type { Resources } from '../Resources.js'
import { addResources } from '../addResources.js'
import { fitsWithin } from './fitsWithin.js'
import { getHostRefusal } from './getHostRefusal.js'
import { getReservedResources } from './getReservedResources.js'
import { noResources } from '../noResources.js'

/**
 * Selects the backend server on which room is held for a lasting task that fits on none: the one that
 * lacks least, of those that will have room once their other tasks have ended.
 *
 * @param usable - the usable servers of the step's service
 * @internal
 */
export function selectHeldBackend(
	readyStep: Pick<ReadyStep, 'step' | 'members'>,
	usable: readonly BackendRow[]
): BackendRow | undefined {
	const needs = getReservedResources(readyStep.step)
	let best: BackendRow | undefined
	let leastLack = Infinity
	for (const backend of usable) {
		const lack = getLack(needs, backend)
		if (lack >= leastLack || getHostRefusal(readyStep, backend) !== 'room') continue
		if (!fitsWithin(needs, getLastingUse(backend), backend.capacity)) continue
		best = backend
		leastLack = lack
	}
	return best
}

/** Returns the largest share of its capacity that a server lacks for a task. */
function getLack(needs: Resources, { used, capacity }: BackendRow): number {
	const getShare = (kind: keyof Resources): number =>
		capacity[kind] > 0 ? (used[kind] + needs[kind] - capacity[kind]) / capacity[kind] : 0
	return Math.max(getShare('cpu'), getShare('memory'), getShare('gpu'))
}

function getLastingUse({ tasks }: BackendRow): Resources {
	let use = noResources
	for (const { step } of tasks.values())
		if (step.lasting) use = addResources(use, getReservedResources(step))
	return use
}
