import type { OwnerState } from './OwnerState.js'
import type { OwnershipState } from './OwnershipState.js'
import { ownerSteps } from './ownerSteps.js'
import { replaceAt } from '../replaceAt.js'
import { serverSteps } from './serverSteps.js'

/**
 * Changes of the whole state.
 */
export const stateSteps = {
	/** Keeps the first violation. */
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

	/**
	 * Advances time by one tick. The log answers the newest owner all the time, and an owner that was
	 * replaced never again.
	 */
	tick(state: OwnershipState): OwnershipState {
		const now = state.now + 1
		const servers = state.servers.map((server) => serverSteps.expire(server, now))
		const next = { ...state, now, servers }
		return stateSteps.updateOwner(next, state.owners.length - 1, (owner) => ({
			...owner,
			logAnsweredAt: now,
		}))
	},

	/**
	 * Records a violation if a backend server forgets an end while the log still has that attempt as
	 * placed.
	 */
	checkForgotten(
		state: OwnershipState,
		server: number,
		forgotten: readonly { task: number; attempt: number; outcome: string }[]
	): OwnershipState {
		for (const { task, attempt, outcome } of forgotten) {
			const status = state.log.tasks[task]
			const isStillPlaced = status && ownerSteps.isAt(status, server) && status.attempt === attempt
			if (outcome === 'done' && isStillPlaced) {
				return stateSteps.recordViolation(
					state,
					'no-end-lost',
					`the end of task ${task} was forgotten before it was in the log`
				)
			}
		}
		return state
	},
}
