import type { BackendRow } from '../BackendRow.js'
import type { HostRefusal } from './HostRefusal.js'
import type { ReadyStep } from './ReadyStep.js'
import { getReservedResources } from './getReservedResources.js'
import { hasRoom } from './hasRoom.js'

/**
 * Returns why a usable backend server cannot host a further task of a step now; undefined if it can.
 * Lack of room comes last, because it is the only one that passes as the server's tasks end.
 *
 * @public
 */
export function getHostRefusal(
	{ step, members }: Pick<ReadyStep, 'step' | 'members'>,
	backend: BackendRow
): HostRefusal | undefined {
	const { id, labels } = backend
	if (step.requiredLabel !== '' && !labels.includes(step.requiredLabel)) return 'label'
	if (step.maximumPerBackend > 0) {
		const placedHere = members.filter((member) => member.backend === id)
		if (placedHere.length >= step.maximumPerBackend) return 'sibling-limit'
	}
	return hasRoom(getReservedResources(step), backend) ? undefined : 'room'
}
