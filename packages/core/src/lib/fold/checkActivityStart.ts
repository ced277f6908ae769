import type { Placement } from '../state/Placement.js'

/**
 * Checks that the activity of a backend server is still the one that the proposer of a step saw.
 *
 * @param since - offset at which that activity began, as the proposal states it
 * @param isRequired - whether a proposal without this offset is rejected
 * @returns the reason for a rejection, or undefined
 * @internal
 */
export function checkActivityStart(
	placement: Placement,
	since: number | undefined,
	isRequired: boolean
): string | undefined {
	if (since === undefined) return isRequired ? 'the step names no offset of its drain' : undefined
	if (since === (placement.since?.offset ?? 0)) return undefined
	return `the step follows from offset ${since}, which is past`
}
