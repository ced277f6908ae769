import type { BackendRow } from './BackendRow.js'
import type { HostRefusal } from './HostRefusal.js'
import type { ReadyStep } from './ReadyStep.js'
import { addResources } from './addResources.js'
import { fitsWithin } from './fitsWithin.js'
import { getReservedResources } from './getReservedResources.js'

/**
 * Returns why a usable backend server cannot host a further task of a step now; undefined if it can.
 * Lack of room comes last, because it is the only one that passes as the server's tasks end.
 *
 * @public
 */
export function getHostRefusal(
	{ step, members }: Pick<ReadyStep, 'step' | 'members'>,
	{ id, labels, used, unexpected, capacity }: BackendRow
): HostRefusal | undefined {
	if (step.requiredLabel !== '' && !labels.includes(step.requiredLabel)) return 'label'
	if (step.maximumPerBackend > 0) {
		const placedHere = members.filter((member) => member.backend === id)
		if (placedHere.length >= step.maximumPerBackend) return 'sibling-limit'
	}
	const taken = addResources(used, unexpected)
	return fitsWithin(getReservedResources(step), taken, capacity) ? undefined : 'room'
}
