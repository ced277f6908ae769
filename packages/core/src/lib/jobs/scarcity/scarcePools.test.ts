import { expect, it } from 'vitest'
import { DemandPoolPolicy } from '../pools/DemandPoolPolicy.js'
import type { PoolState } from '../pools/PoolState.js'

const MACHINE_CORES = 16
const NOW = 10_000

// Names the load: one queue's peak has taken every machine when the peak of another one begins.
it('a pool with all machines gives those beyond its fair share to one whose time comes', () => {
	const policy = new DemandPoolPolicy()
	const hot = createPool('hot', { machines: 20, idle: 3, usedCores: 300, pendingCores: 400 })
	const quiet = createPool('quiet', { machines: 2, idle: 0, usedCores: 32, pendingCores: 100 })
	const moves = policy.plan([hot, quiet], NOW)
	expect(moves.map(({ from, to }) => `${from} to ${to}`)).toEqual(Array(3).fill('hot to quiet'))
	expect(policy.getMachineLimit(hot, false)).toBe(22 - policy.getTargetSize(quiet))
	expect(policy.getMachineLimit(quiet, false)).toBeUndefined()
})

it('gives no more than the fair share, however hot the other pool is', () => {
	const policy = new DemandPoolPolicy()
	const hot = createPool('hot', { machines: 2, idle: 0, pendingCores: 10_000 })
	const warm = createPool('warm', { machines: 20, idle: 20, usedCores: 0, pendingCores: 600 })
	expect(policy.plan([hot, warm], NOW)).toHaveLength(9)
})

// Guards against machines that move back and forth between pools that are both short.
it('leaves pools alone that are near their shares', () => {
	const policy = new DemandPoolPolicy()
	const first = createPool('first', { machines: 12, idle: 2, pendingCores: 400 })
	const second = createPool('second', { machines: 10, idle: 2, pendingCores: 400 })
	expect(policy.plan([first, second], NOW)).toEqual([])
	expect(policy.getMachineLimit(first, false)).toBeUndefined()
})

it('restrains nobody while there are machines for all', () => {
	const policy = new DemandPoolPolicy()
	const hot = createPool('hot', { machines: 20, idle: 0, usedCores: 290 })
	const quiet = createPool('quiet', { machines: 2, idle: 0, pendingCores: 60 })
	const spare = { ...createPool('spare', { machines: 10, idle: 10 }), spare: true }
	policy.plan([hot, quiet, spare], NOW)
	expect(policy.getMachineLimit(hot, false)).toBeUndefined()
})

function createPool(
	service: string,
	options: {
		readonly machines: number
		readonly idle: number
		readonly usedCores?: number
		readonly pendingCores?: number
	}
): PoolState {
	const { machines, idle, usedCores = 0, pendingCores = 0 } = options
	return {
		service,
		spare: false,
		machineCores: MACHINE_CORES,
		machines: Array.from({ length: machines }, (_, index) => ({
			id: `${service}-${index}`,
			idleSince: index < idle ? 0 : undefined,
		})),
		usableMachines: machines,
		arrivingMachines: 0,
		arrivalTime: 1_700,
		demandCores: 0,
		usedCores,
		pendingCores,
		lateCores: 0,
		lastingCores: 0,
		minimumLastingMachines: 0,
		missingLastingMachines: 0,
	}
}
