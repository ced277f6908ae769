import type { OwnerState } from './OwnerState.js'
import type { OwnershipState } from './OwnershipState.js'
import { ownerSteps } from './ownerSteps.js'
import { replaceAt } from './replaceAt.js'
import { serverSteps } from './serverSteps.js'

/**
 * Changes of a state that no single part makes.
 */
export const stateSteps = {
	blame(state: OwnershipState, invariant: string, message: string): OwnershipState {
		return { ...state, fault: state.fault ?? { invariant, message } }
	},

	spend(state: OwnershipState, what: keyof OwnershipState['left']): OwnershipState {
		return { ...state, left: { ...state.left, [what]: state.left[what] - 1 } }
	},

	change(
		state: OwnershipState,
		place: number,
		by: (owner: OwnerState) => OwnerState
	): OwnershipState {
		const owner = state.owners[place]
		return owner ? { ...state, owners: replaceAt(state.owners, place, by(owner)) } : state
	},

	changeServer(
		state: OwnershipState,
		place: number,
		by: (server: OwnershipState['servers'][number]) => OwnershipState['servers'][number]
	): OwnershipState {
		const server = state.servers[place]
		return server ? { ...state, servers: replaceAt(state.servers, place, by(server)) } : state
	},

	/** The newest owner hears from the log all the time; one that was replaced, never again. */
	tick(state: OwnershipState): OwnershipState {
		const now = state.now + 1
		const servers = state.servers.map((server) => serverSteps.expire(server, now))
		const next = { ...state, now, servers }
		return stateSteps.change(next, state.owners.length - 1, (owner) => ({ ...owner, contact: now }))
	},

	/** An end that a backend server forgets must be in the log if the log still waits for it. */
	checkForgotten(
		state: OwnershipState,
		server: number,
		forgotten: readonly { task: number; attempt: number; how: string }[]
	): OwnershipState {
		for (const { task, attempt, how } of forgotten) {
			const view = state.log.tasks[task]
			const isAwaited = view && ownerSteps.isAt(view, server) && view.attempt === attempt
			if (how === 'done' && isAwaited) {
				return stateSteps.blame(state, 'no-end-lost', `the end of task ${task} is nowhere`)
			}
		}
		return state
	},
}
