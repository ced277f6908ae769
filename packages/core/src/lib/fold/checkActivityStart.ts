import type { Placement } from '../state/Placement.js'

/**
 * Checks that a step follows from the activity that its proposer saw.
 *
 * @param since - offset in the proposal
 * @param isRequired - whether a step that gives none is rejected
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
