import { expect, test } from 'vitest'
import { search } from '../search.js'
import type { LedgerAction } from './LedgerAction.js'
import type { LedgerBug } from './LedgerBug.js'
import { LedgerModel } from './LedgerModel.js'
import { LedgerReplay } from './LedgerReplay.js'
import { ledgerSearches } from './ledgerSearches.js'

type SearchName = keyof typeof ledgerSearches

const bugs: [LedgerBug, SearchName, string][] = [
	['grants-above-limit', 'duplicates', 'ledger-within-limit'],
	['lapse-undone', 'leases', 'ledger-within-limit'],
	['lease-not-checked', 'duplicates', 'running-within-limit'],
	['lease-from-read', 'duplicates', 'running-within-limit'],
	['reclaim-without-run-bound', 'leases', 'running-within-limit'],
	['duplicates-applied', 'duplicates', 'running-within-limit'],
	['releases-forgotten', 'releases', 'running-within-limit'],
	['lapse-twice', 'leases', 'running-within-limit'],
]

test.each(bugs)('finds %s in the search for %s', (bug, name, invariant) => {
	const result = search(new LedgerModel(ledgerSearches[name], bug))
	expect(result.violation?.invariant).toBe(invariant)
})

function replay(name: SearchName, trace: readonly LedgerAction[]): void {
	const model = new LedgerModel(ledgerSearches[name])
	const ledgerReplay = new LedgerReplay(ledgerSearches[name])
	let state = model.createInitial()
	for (const [index, action] of trace.entries()) {
		state = model.apply(state, action)
		ledgerReplay.apply(action)
		const expected = state.holders.map(({ runs }, member) => ({
			amount: state.ledger.members[member]?.amount,
			usable: model.getUsableUnits(state, member),
			runs: runs.length,
		}))
		expect(ledgerReplay.getUsage(), JSON.stringify(trace.slice(0, index + 1))).toEqual(expected)
	}
}

test.each<[SearchName, number]>([
	['duplicates', 3],
	['leases', 200],
	['releases', 200],
	['lowered limit', 200],
])('the fold and the holders match the model in traces of %s', (name, sampleEvery) => {
	const model = new LedgerModel(ledgerSearches[name])
	const { samples, violation } = search(model, { sampleEvery })
	expect(violation).toBeUndefined()
	expect(samples.length).toBeGreaterThan(300)
	for (const trace of samples) replay(name, trace)
})

test('the fold matches the correct model in the trace found for lapse-twice', () => {
	const result = search(new LedgerModel(ledgerSearches.leases, 'lapse-twice'))
	const trace = result.violation?.trace ?? []
	expect(trace.length).toBeGreaterThan(5)
	replay('leases', trace)
})
