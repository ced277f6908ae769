import type { Message } from './Message.js'
import type { OwnerState } from './OwnerState.js'
import type { OwnershipState } from './OwnershipState.js'
import { ownerSteps } from './ownerSteps.js'
import { replaceAt } from './replaceAt.js'
import { stateSteps } from './stateSteps.js'

/**
 * Orders on their way: sent, given up, answered.
 */
export const orderSteps = {
	send(
		state: OwnershipState,
		owner: OwnerState,
		order: Omit<Message, 'term' | 'token' | 'incarnation'>
	): OwnershipState {
		const { term, token, incarnations } = owner
		const incarnation = incarnations[order.server] ?? 0
		return { ...state, flight: sort([...state.flight, { term, token, incarnation, ...order }]) }
	},

	stop(state: OwnershipState, place: number, task: number): OwnershipState {
		const owner = state.owners[place]
		const view = owner?.tasks[task]?.view
		if (!owner || !view) return state
		const { server, attempt } = view
		return orderSteps.send(state, owner, {
			kind: 'stop',
			server,
			task,
			attempt,
			leaseEnd: 0,
			open: true,
		})
	},

	giveUp(state: OwnershipState, index: number): OwnershipState {
		const message = state.flight[index]
		if (!message) return state
		const flight = replaceAt(state.flight, index, { ...message, open: false })
		const next = { ...stateSteps.spend(state, 'unanswered'), flight: sort(flight) }
		if (message.kind !== 'start') return next
		const place = state.owners.findIndex(({ term }) => term === message.term)
		return changeOrdered(next, place, message, (owner) =>
			owner.tasks[message.task]?.stage === 'sent'
				? ownerSteps.setStage(owner, message.task, 'unclear')
				: owner
		)
	},

	answer(
		state: OwnershipState,
		place: number,
		message: Message,
		result: 'taken' | 'refused' | 'fenced'
	): OwnershipState {
		if (result === 'fenced')
			return stateSteps.change(state, place, (owner) => ownerSteps.die(owner))
		return changeOrdered(state, place, message, (owner) => {
			if (message.kind === 'stop') {
				return result === 'taken' ? ownerSteps.setStage(owner, message.task, 'barred') : owner
			}
			if (result === 'refused') return ownerSteps.endRun(owner, message.task, 'stopped')
			const isSent = owner.tasks[message.task]?.stage === 'sent'
			return isSent ? ownerSteps.setStage(owner, message.task, 'confirmed') : owner
		})
	},
}

/** Changes an owner for which the task is still where the order went. */
function changeOrdered(
	state: OwnershipState,
	place: number,
	message: Message,
	by: (owner: OwnerState) => OwnerState
): OwnershipState {
	return stateSteps.change(state, place, (owner) => {
		const view = owner.tasks[message.task]?.view
		const isThere = view && ownerSteps.isAt(view, message.server)
		return owner.alive && isThere && view.attempt === message.attempt ? by(owner) : owner
	})
}

/** Calls overtake each other, so that their order says nothing and must not tell states apart. */
function sort(flight: readonly Message[]): Message[] {
	const keys = new Map(flight.map((message) => [message, JSON.stringify(message)]))
	return flight.toSorted((a, b) => ((keys.get(a) ?? '') < (keys.get(b) ?? '') ? -1 : 1))
}
