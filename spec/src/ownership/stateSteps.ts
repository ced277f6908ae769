import type { OwnerState } from './OwnerState.js'
import type { OwnershipState } from './OwnershipState.js'
import { ownerSteps } from './ownerSteps.js'
import { replaceAt } from './replaceAt.js'
import { serverSteps } from './serverSteps.js'

/**
 * Changes of a state that no single part makes.
 */
export const stateSteps = {
	recordViolation(state: OwnershipState, invariant: string, message: string): OwnershipState {
		return { ...state, violation: state.violation ?? { invariant, message } }
	},

	decrement(state: OwnershipState, counter: keyof OwnershipState['remaining']): OwnershipState {
		return { ...state, remaining: { ...state.remaining, [counter]: state.remaining[counter] - 1 } }
	},

	updateOwner(
		state: OwnershipState,
		index: number,
		update: (owner: OwnerState) => OwnerState
	): OwnershipState {
		const owner = state.owners[index]
		return owner ? { ...state, owners: replaceAt(state.owners, index, update(owner)) } : state
	},

	updateServer(
		state: OwnershipState,
		index: number,
		update: (server: OwnershipState['servers'][number]) => OwnershipState['servers'][number]
	): OwnershipState {
		const server = state.servers[index]
		return server ? { ...state, servers: replaceAt(state.servers, index, update(server)) } : state
	},

	/** The newest owner hears from the log all the time; one that was replaced, never again. */
	tick(state: OwnershipState): OwnershipState {
		const now = state.now + 1
		const servers = state.servers.map((server) => serverSteps.expire(server, now))
		const next = { ...state, now, servers }
		return stateSteps.updateOwner(next, state.owners.length - 1, (owner) => ({
			...owner,
			logAnsweredAt: now,
		}))
	},

	/** An end that a backend server forgets must be in the log if the log still waits for it. */
	checkForgotten(
		state: OwnershipState,
		server: number,
		forgotten: readonly { task: number; attempt: number; outcome: string }[]
	): OwnershipState {
		for (const { task, attempt, outcome } of forgotten) {
			const status = state.log.tasks[task]
			const isAwaited = status && ownerSteps.isAt(status, server) && status.attempt === attempt
			if (outcome === 'done' && isAwaited) {
				return stateSteps.recordViolation(
					state,
					'no-end-lost',
					`the end of task ${task} is nowhere`
				)
			}
		}
		return state
	},
}
