import { createHash } from 'node:crypto'
import type { Model } from './Model.js'
import type { SearchResult } from './SearchResult.js'

interface Options {
	/** States after which the search gives up; 5,000,000 by default. */
	readonly maximumStates?: number
	/** One trace in so many states is kept; none by default. */
	readonly sampleEvery?: number
}

interface Visit<Action> {
	readonly parent: Visit<Action> | undefined
	readonly action: Action | undefined
	readonly depth: number
}

const DEFAULT_MAXIMUM_STATES = 5_000_000

/**
 * Visits every state of a model breadth first, until one breaks an invariant. Breadth first, so
 * that the trace to it is one of the shortest.
 *
 * @public
 */
export function search<State, Action>(
	model: Model<State, Action>,
	options: Options = {}
): SearchResult<Action> {
	const { maximumStates = DEFAULT_MAXIMUM_STATES, sampleEvery = 0 } = options
	const initial = model.createInitial()
	const known = new Set([getKey(initial)])
	let level: { state: State; visit: Visit<Action> }[] = [
		{ state: initial, visit: { parent: undefined, action: undefined, depth: 0 } },
	]
	const samples: Action[][] = []
	let transitions = 0
	let depth = 0
	while (level.length > 0) {
		const next: typeof level = []
		for (const { state, visit } of level) {
			depth = visit.depth
			for (const action of model.getActions(state)) {
				transitions++
				const after = model.apply(state, action)
				const key = getKey(after)
				if (known.has(key)) continue
				known.add(key)
				const reached = { parent: visit, action, depth: depth + 1 }
				const result = { states: known.size, transitions, depth: depth + 1, samples }
				const violation = findViolation(model, after)
				if (violation) {
					const trace = getTrace(reached)
					return { ...result, isExhaustive: false, violation: { ...violation, trace } }
				}
				if (known.size >= maximumStates) return { ...result, isExhaustive: false }
				if (sampleEvery > 0 && known.size % sampleEvery === 0) samples.push(getTrace(reached))
				next.push({ state: after, visit: reached })
			}
		}
		level = next
	}
	return { states: known.size, transitions, depth, isExhaustive: true, samples }
}

/** Digest of a state: states are known by it, since many whole ones would not fit in memory. */
function getKey(state: unknown): string {
	return createHash('sha1').update(JSON.stringify(state)).digest('base64')
}

function findViolation<State, Action>(model: Model<State, Action>, state: State) {
	for (const [invariant, check] of model.invariants) {
		const message = check(state)
		if (message !== undefined) return { invariant, message }
	}
	return undefined
}

function getTrace<Action>(visit: Visit<Action>): Action[] {
	const trace: Action[] = []
	for (let at: Visit<Action> | undefined = visit; at; at = at.parent) {
		if (at.action !== undefined) trace.unshift(at.action)
	}
	return trace
}
