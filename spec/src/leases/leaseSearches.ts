import type { LeaseBounds } from './LeaseBounds.js'

const common = {
	lease: 1,
	maximumOwnerSilence: 1,
	instances: 2,
	terms: 2,
	restarts: 0,
	lostRecords: 0,
	ends: 0,
	hasLateAcknowledgements: false,
	hasLateReads: false,
}

/**
 * Bounds within which the lease model is searched, by the part of the protocol that they exercise.
 *
 * @internal
 */
export const leaseSearches = {
	'late acknowledgements and reads': {
		...common,
		hasLateAcknowledgements: true,
		hasLateReads: true,
	},
	'lost and renewed': { ...common, lostRecords: 1 },
	'ended terms and new processes': { ...common, restarts: 1, ends: 1 },
	'ended terms read late': { ...common, ends: 1, hasLateReads: true },
	'three terms, one ended': { ...common, terms: 3, restarts: 1, ends: 1 },
	'three terms, one lost server': { ...common, terms: 3, lostRecords: 1 },
} satisfies Record<string, LeaseBounds>
