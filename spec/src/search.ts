import { createHash } from 'node:crypto'
import type { Model } from './Model.js'
import type { SearchResult } from './SearchResult.js'

interface SearchOptions {
	/** Number of states at which the search stops; 5,000,000 by default. */
	readonly maximumStates?: number
	/** Keeps the trace to each n-th state found; 0, the default, keeps none. */
	readonly sampleEvery?: number
}

/** How a state was first reached; the initial state has neither `parent` nor `action`. */
interface Visit<Action> {
	readonly parent: Visit<Action> | undefined
	readonly action: Action | undefined
	readonly depth: number
}

const DEFAULT_MAXIMUM_STATES = 5_000_000

/**
 * Visits the reachable states of a model until one violates an invariant. The search is breadth
 * first, so no trace to a violation is shorter than the one returned. The initial state itself is
 * not checked.
 *
 * @public
 */
export function search<State, Action>(
	model: Model<State, Action>,
	options: SearchOptions = {}
): SearchResult<Action> {
	const { maximumStates = DEFAULT_MAXIMUM_STATES, sampleEvery = 0 } = options
	const initial = model.createInitial()
	const visited = new Set([getKey(initial)])
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
				if (visited.has(key)) continue
				visited.add(key)
				const reached = { parent: visit, action, depth: depth + 1 }
				const result = { states: visited.size, transitions, depth: depth + 1, samples }
				const violation = findViolation(model, after)
				if (violation) {
					const trace = getTrace(reached)
					return { ...result, isExhaustive: false, violation: { ...violation, trace } }
				}
				if (visited.size >= maximumStates) return { ...result, isExhaustive: false }
				if (sampleEvery > 0 && visited.size % sampleEvery === 0) samples.push(getTrace(reached))
				next.push({ state: after, visit: reached })
			}
		}
		level = next
	}
	return { states: visited.size, transitions, depth, isExhaustive: true, samples }
}

/** Returns a digest that identifies a state. Whole visited states would not fit in memory. */
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
	for (let step: Visit<Action> | undefined = visit; step; step = step.parent) {
		if (step.action !== undefined) trace.unshift(step.action)
	}
	return trace
}
