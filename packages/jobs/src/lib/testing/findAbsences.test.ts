import { expect, it } from 'vitest'
import { findAbsences } from './findAbsences.js'

const UNTIL = 60_000
/** The server is lost at 10 s, and the run with it. */
const lost = { startedAt: 1_000, endedAt: 10_000 }
const loss = { from: 10_000, to: 10_000 }
const check = (changes: Partial<Parameters<typeof findAbsences>[0]>) =>
	findAbsences({ runs: [lost], faults: [loss], acceptedAt: 900, until: UNTIL, ...changes })

it('reports a task that stands without a run 9 s after its last one', () => {
	const runs = [lost, { startedAt: 19_001, endedAt: undefined }]
	expect(check({ runs })).toEqual([{ from: 10_000, to: 19_001 }])
	expect(check({})).toEqual([{ from: 10_000, to: UNTIL }])
})

it('allows an absence of up to 9 s', () => {
	expect(check({ runs: [lost, { startedAt: 19_000, endedAt: undefined }] })).toEqual([])
})

it('counts only 3 s after 4 s without a fault', () => {
	const runs = [lost, { startedAt: 32_000, endedAt: undefined }]
	const faults = [10, 16, 22, 25].map((second) => ({ from: second * 1_000, to: second * 1_000 }))
	expect(check({ runs, faults })).toEqual([])
	expect(check({ runs, faults: faults.slice(0, 3) })).toHaveLength(1)
})

it('counts no time in which a fault is active', () => {
	const faults = [loss, { from: 12_000, to: UNTIL }, { from: 13_000, to: 14_000 }]
	expect(check({ faults })).toEqual([])
})

it('reports a task that never ran 3 s after its job was accepted', () => {
	expect(check({ runs: [], faults: [], acceptedAt: 20_000 })).toHaveLength(1)
	const runs = [{ startedAt: 23_000, endedAt: undefined }]
	expect(check({ runs, faults: [], acceptedAt: 20_000 })).toEqual([])
})

it('accepts runs that follow each other', () => {
	const runs = [
		lost,
		{ startedAt: 10_000, endedAt: 50_000 },
		{ startedAt: 55_000, endedAt: undefined },
	]
	expect(check({ runs })).toEqual([])
})
