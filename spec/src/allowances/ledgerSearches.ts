import type { LedgerModel } from './LedgerModel.js'

const common = {
	members: 2,
	limit: 2,
	advances: 1,
	appends: 3,
	copies: 1,
	heartbeats: 0,
	proposals: 2,
	starts: 1,
	combinedActions: 1,
}

/**
 * Bounds within which the ledger model is searched, by the part of the protocol that they exercise.
 *
 * @internal
 */
export const ledgerSearches = {
	duplicates: { ...common, appends: 4, copies: 2 },
	leases: { ...common, advances: 4, appends: 2, heartbeats: 1, proposals: 1, starts: 2 },
	releases: { ...common, advances: 3, heartbeats: 1 },
	'lowered limit': { ...common, loweredLimit: 1, advances: 2, heartbeats: 1 },
	'two members step by step': {
		...common,
		advances: 2,
		appends: 4,
		heartbeats: 1,
		proposals: 1,
		combinedActions: undefined,
	},
} satisfies Record<string, ConstructorParameters<typeof LedgerModel>[0]>
