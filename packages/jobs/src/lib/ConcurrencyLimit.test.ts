import { expect, it } from 'vitest'
import { ConcurrencyLimit } from './ConcurrencyLimit.js'

// Guards against callers of an instance that has just started, who wait until it has loaded everything.
it('lets calls that have become urgent go before others that wait, and the rest in order', async () => {
	const limit = new ConcurrencyLimit(1)
	const started: string[] = []
	const urgent = new Set<string>()
	const run = (name: string): Promise<void> =>
		limit.run(
			() => {
				started.push(name)
				return Promise.resolve()
			},
			() => urgent.has(name)
		)
	const calls = ['a', 'b', 'c', 'd'].map(run)
	urgent.add('c')
	await Promise.all(calls)
	expect(started).toEqual(['a', 'c', 'b', 'd'])
})
