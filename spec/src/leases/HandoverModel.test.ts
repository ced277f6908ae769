import { expect, test } from 'vitest'
import { search } from '../search.js'
import type { HandoverAction } from './HandoverAction.js'
import type { HandoverBug } from './HandoverBug.js'
import { HandoverModel } from './HandoverModel.js'

const stay = { kind: 'stay' } as const
const kill = { kind: 'replace', instance: 1, reason: 'killed' } as const

test.each<HandoverBug>(['never-recorded', 'recorded-after-term', 'recorded-once'])(
	'finds %s',
	(bug) => {
		const result = search(new HandoverModel(HandoverModel.maximumLostTicks, bug))
		expect(result.violation?.invariant).toBe('task-starts-in-time')
	}
)

// Guards against waits that start over with each owner: LOST without end.
test.each<[HandoverBug, readonly HandoverAction[]]>([
	['never-recorded', [stay, stay, kill]],
	['recorded-after-term', [kill]],
	['recorded-once', [stay, stay, kill]],
])('%s holds a task up for as long as owners change', (bug, changes) => {
	const ticks = 30
	const model = new HandoverModel(ticks, bug)
	let state = model.createInitial()
	for (let tick = 0; tick < ticks; tick++) {
		const change = changes[tick % changes.length] ?? stay
		expect(model.getActions(state), `tick ${tick}`).toContainEqual(change)
		state = model.apply(state, change)
	}
	expect(model.invariants.get('task-starts-in-time')?.(state)).toBeDefined()
})
