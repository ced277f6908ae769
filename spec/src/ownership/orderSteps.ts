import type { ServerMessage } from './ServerMessage.js'
import type { OwnerState } from './OwnerState.js'
import type { OwnershipState } from './OwnershipState.js'
import { ownerSteps } from './ownerSteps.js'
import { replaceAt } from '../replaceAt.js'
import { stateSteps } from './stateSteps.js'

/**
 * Sending of orders to backend servers, and handling of their answers or missing answers.
 */
export const orderSteps = {
	send(
		state: OwnershipState,
		owner: OwnerState,
		order: Omit<ServerMessage, 'term' | 'token' | 'incarnation'>
	): OwnershipState {
		const { term, token, incarnations } = owner
		const incarnation = incarnations[order.server] ?? 0
		return {
			...state,
			inFlight: sortMessages([...state.inFlight, { term, token, incarnation, ...order }]),
		}
	},

	stop(state: OwnershipState, ownerIndex: number, task: number): OwnershipState {
		const owner = state.owners[ownerIndex]
		const status = owner?.tasks[task]?.status
		if (!owner || !status) return state
		const { server, attempt } = status
		return orderSteps.send(state, owner, {
			kind: 'stop',
			server,
			task,
			attempt,
			leaseEnd: 0,
			isAnswerAwaited: true,
		})
	},

	/** Stops waiting for an answer. A start without an answer becomes `unclear`. */
	giveUp(state: OwnershipState, index: number): OwnershipState {
		const message = state.inFlight[index]
		if (!message) return state
		const inFlight = replaceAt(state.inFlight, index, { ...message, isAnswerAwaited: false })
		const next = { ...stateSteps.decrement(state, 'unanswered'), inFlight: sortMessages(inFlight) }
		if (message.kind !== 'start') return next
		const ownerIndex = state.owners.findIndex(({ term }) => term === message.term)
		return updateOrderedTaskOwner(next, ownerIndex, message, (owner) =>
			owner.tasks[message.task]?.orderState === 'sent'
				? ownerSteps.setOrderState(owner, message.task, 'unclear')
				: owner
		)
	},

	answer(
		state: OwnershipState,
		ownerIndex: number,
		message: ServerMessage,
		result: 'taken' | 'refused' | 'fenced'
	): OwnershipState {
		if (result === 'fenced')
			return stateSteps.updateOwner(state, ownerIndex, (owner) => ownerSteps.endTerm(owner))
		return updateOrderedTaskOwner(state, ownerIndex, message, (owner) => {
			if (message.kind === 'stop') {
				return result === 'taken' ? ownerSteps.setOrderState(owner, message.task, 'barred') : owner
			}
			if (result === 'refused') return ownerSteps.endRun(owner, message.task, 'stopped')
			const isSent = owner.tasks[message.task]?.orderState === 'sent'
			return isSent ? ownerSteps.setOrderState(owner, message.task, 'confirmed') : owner
		})
	},
}

/** Updates an owner if it still has the attempt of the order placed on that backend server. */
function updateOrderedTaskOwner(
	state: OwnershipState,
	ownerIndex: number,
	message: ServerMessage,
	update: (owner: OwnerState) => OwnerState
): OwnershipState {
	return stateSteps.updateOwner(state, ownerIndex, (owner) => {
		const status = owner.tasks[message.task]?.status
		const isPlacedThere = status && ownerSteps.isAt(status, message.server)
		return owner.isActive && isPlacedThere && status.attempt === message.attempt
			? update(owner)
			: owner
	})
}

/** Sorts messages in flight. They may overtake each other, so their sequence is no part of a state. */
function sortMessages(inFlight: readonly ServerMessage[]): ServerMessage[] {
	const keys = new Map(inFlight.map((message) => [message, JSON.stringify(message)]))
	return inFlight.toSorted((a, b) => ((keys.get(a) ?? '') < (keys.get(b) ?? '') ? -1 : 1))
}
