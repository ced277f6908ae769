import { expect, it } from 'vitest'
import type { Machine } from '../ports/Machine.js'
import type { MachineOrderResult } from '../ports/MachineOrderResult.js'
import { createTestFleet } from '../testing/createTestFleet.js'
import { MemoryMachineController } from '../testing/MemoryMachineController.js'

const MACHINES = 8
/** Time until a maintenance order is answered, in milliseconds. */
const ORDER_DURATION = 1_400
/** The list is refreshed at an age of 1,500 ms, in rounds of 150 ms. */
const MAXIMUM_LIST_PAUSE = 1_800

// Guards against pools that get no machines for as long as a wave has machines to take down.
it('goes on with the pools while a wave waits for the answers to its orders', async () => {
	const machines = Array.from({ length: MACHINES }, (_, index) => createMachine(`spare-${index}`))
	const fleet = createTestFleet({ instances: 1, backends: 1, machines })
	const listedAt: number[] = []
	const list = MemoryMachineController.prototype.list.bind(fleet.machines)
	fleet.machines.list = () => {
		listedAt.push(fleet.timers.now())
		return list()
	}
	fleet.machines.maintain = async (machine): Promise<MachineOrderResult> => {
		fleet.machines.orders.push(machine)
		await new Promise<void>((resolve) => {
			fleet.timers.after(ORDER_DURATION, resolve)
		})
		return { kind: 'done' }
	}
	const wave = {
		number: 1,
		machines: machines.map(({ id }) => id),
		deadlineSeconds: 60,
		parallelism: MACHINES,
	}
	fleet.store.append('operator', [{ key: 'wave/1', value: JSON.stringify(wave) }])
	await fleet.advance(16_000)
	expect(new Set(fleet.machines.orders).size).toBe(MACHINES)
	const pauses = listedAt.slice(1).map((at, index) => at - (listedAt[index] ?? 0))
	expect(Math.max(...pauses)).toBeLessThan(MAXIMUM_LIST_PAUSE)
})

function createMachine(id: string): Machine {
	return {
		id,
		service: 'rest',
		state: 'up',
		zone: 'a',
		labels: [],
		capacity: { cpu: 16_000, memory: 64_000, gpu: 0 },
		backend: '',
	}
}
