import type { OwnershipBounds } from './OwnershipBounds.js'

const common = {
	tasks: 1,
	servers: 2,
	limit: 1,
	ticks: 5,
	takeovers: 1,
	placements: 2,
	restarts: 0,
	finishes: 0,
	listings: 1,
	unanswered: 1,
}

/**
 * Bounds within which the ownership model is searched, by the part of the protocol that they
 * exercise.
 *
 * @internal
 */
export const ownershipSearches = {
	'an owner replaced': { ...common, ticks: 4, unanswered: 0 },
	'calls without an answer': { ...common, ticks: 2, takeovers: 0, listings: 2, unanswered: 2 },
	ends: { ...common, ticks: 1, finishes: 1, listings: 3, unanswered: 0, servers: 1 },
	'ends while a lease runs out': {
		...common,
		ticks: 2,
		finishes: 1,
		unanswered: 0,
		servers: 1,
	},
	'ends of earlier attempts': { ...common, ticks: 2, takeovers: 0, finishes: 1, unanswered: 0 },
	'backend servers restarted': { ...common, ticks: 1, restarts: 1, listings: 2, servers: 1 },
	'three owners': { ...common, ticks: 1, takeovers: 2, unanswered: 0 },
	'two tasks, limit 1': { ...common, tasks: 2, servers: 1, ticks: 2, takeovers: 0, listings: 2 },
} satisfies Record<string, OwnershipBounds>
