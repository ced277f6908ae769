import { describe, expect, it } from 'vitest'
import type { Machine } from '../ports/Machine.js'
import type { MachineOrderResult } from '../ports/MachineOrderResult.js'
import { createTestFleet } from '../testing/createTestFleet.js'

const MACHINES = 8
/** Time that two owners keep between their orders for one machine, in milliseconds. */
const MINIMUM_DISTANCE = 3_000
/** Times from the start of a wave to the hand-over, in milliseconds. */
const HANDOVERS = [40, 120, 300, 700]

// Guards against two owners that order the same machine around a hand-over.
describe('a hand-over in the middle of a wave', () => {
	it.each(HANDOVERS)('after %i ms sends no order for a machine twice at once', async (handover) => {
		const machines = Array.from({ length: MACHINES }, (_, index) => createMachine(`spare-${index}`))
		const fleet = createTestFleet({ instances: 2, backends: 1, machines })
		const orders: { readonly machine: string; readonly token: number; readonly at: number }[] = []
		fleet.machines.maintain = async (machine, _wave, token): Promise<MachineOrderResult> => {
			orders.push({ machine, token, at: fleet.timers.now() })
			await new Promise<void>((resolve) => {
				fleet.timers.after(50, resolve)
			})
			return { kind: 'done' }
		}
		await fleet.advance(5_000)
		fleet.store.append('operator', [{ key: 'wave/1', value: JSON.stringify(createWave(machines)) }])
		await fleet.advance(handover)
		fleet.store.rebalance()
		await fleet.advance(15_000)
		expect(new Set(orders.map(({ machine }) => machine)).size).toBe(MACHINES)
		const conflicts = orders.filter(({ machine, token, at }) =>
			orders.some(
				(other) =>
					other.machine === machine &&
					other.token !== token &&
					Math.abs(other.at - at) < MINIMUM_DISTANCE
			)
		)
		expect(conflicts).toEqual([])
	})
})

// Guards against a backend server that has left, and that an instance uses again after a restart.
it('places nothing on a server that has left, although the registry cannot be read', async () => {
	const fleet = createTestFleet({ instances: 2, backends: 2 })
	await fleet.advance(1_000)
	fleet.store.append('backends', [{ key: 'b1', value: undefined }])
	await fleet.advance(3_000)
	fleet.store.unavailableStreams.add('backends')
	fleet.store.rebalance()
	await fleet.advance(2_000)
	const job = createTestFleet.createJob(1, [{ count: 6 }])
	void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(3_000)
	const used = Array.from(
		{ length: 6 },
		(_, index) => fleet.journal.getRuns(`${job.id}.0.0.${index}`).at(-1)?.backend
	)
	expect(new Set(used)).toEqual(new Set(['b2']))
})

function createWave(machines: readonly Machine[]) {
	const names = machines.map(({ id }) => id)
	return { number: 1, machines: names, deadlineSeconds: 60, parallelism: MACHINES }
}

function createMachine(id: string): Machine {
	const capacity = { cpu: 16_000, memory: 64_000, gpu: 0 }
	return { id, service: 'rest', state: 'up', zone: 'a', labels: [], capacity, backend: '' }
}
