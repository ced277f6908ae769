import type { BackendRow } from '../BackendRow.js'
import type { ReadyStep } from '../placement/ReadyStep.js'
import { fitsWithin } from '../placement/fitsWithin.js'
import { getReservedResources } from '../placement/getReservedResources.js'
import { noResources } from '../noResources.js'

/**
 * Returns how many further machines like those in use would take the unplaced tasks of a step that no
 * usable backend server can take; 0 if such a machine could not take one either.
 *
 * @param usable - the usable servers of the step's service
 * @internal
 */
export function countMissingMachines(
	{ step, pending }: Pick<ReadyStep, 'step' | 'pending'>,
	usable: readonly BackendRow[]
): number {
	const needs = getReservedResources(step)
	const model = usable.find(({ capacity }) => fitsWithin(needs, noResources, capacity))
	// A machine that is ordered may lack the label.
	if (!model || step.requiredLabel !== '') return 0
	const unplaced = pending.filter(({ phase }) => phase === 'pending').length
	const perCapacity = needs.cpu > 0 ? Math.floor(model.capacity.cpu / needs.cpu) : unplaced
	const limit = step.maximumPerBackend > 0 ? step.maximumPerBackend : unplaced
	return Math.ceil(unplaced / Math.max(1, Math.min(perCapacity, limit)))
}
