import { expect, it } from 'vitest'
import type { Machine } from '../ports/Machine.js'
import { createTestFleet } from '../testing/createTestFleet.js'

/** Time from the wave until the platform lists its newest machine, in milliseconds. */
const LISTING_DELAY = 700

// Guards against a wave that is reported as completed although a machine has had no maintenance,
// because the machine was newer than the owner's list and was taken for removed.
it('waits for a machine that is newer than the list, and not for one that was removed', async () => {
	const machines = [createMachine('old')]
	const fleet = createTestFleet({ instances: 1, backends: 1, machines })
	await fleet.advance(6_000)
	const names = ['old', 'new', 'removed']
	const wave = { number: 1, machines: names, deadlineSeconds: 60, parallelism: 2 }
	fleet.store.append('operator', [{ key: 'wave/1', value: JSON.stringify(wave) }])
	await fleet.advance(LISTING_DELAY)
	machines.push(createMachine('new'))
	await fleet.advance(12_000)
	const ordered = fleet.machines.orders.map((order) => order.split(' ')[1])
	expect(new Set(ordered)).toEqual(new Set(['old', 'new']))
	const reports = fleet.store.getEntries('reports').map(({ value }) => value)
	expect(reports.at(-1)).toBe('completed')
})

function createMachine(id: string): Machine {
	const capacity = { cpu: 16_000, memory: 64_000, gpu: 0 }
	return { id, service: 'rest', state: 'up', zone: 'a', labels: [], capacity, backend: '' }
}
