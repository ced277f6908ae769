import { describe, expect, it } from 'vitest'
import { DemandPoolPolicy } from './DemandPoolPolicy.js'
import type { PoolState } from './PoolState.js'

const policy = new DemandPoolPolicy()

describe('demand that shifts between pools', () => {
	it('moves idle machines from a pool without demand to a pool with demand', () => {
		const previous = createPool('before', { machines: 8 })
		const current = createPool('now', {
			machines: 2,
			demandCores: 90,
			pendingCores: 60,
			usedCores: 30,
		})
		const moves = policy.plan([previous, current], 10_000)
		expect(moves).toHaveLength(5)
		expect(moves.every((move) => move.from === 'before' && move.to === 'now')).toBe(true)
	})

	it('takes spare machines only if no other pool has idle ones', () => {
		const spare = createPool('spare', { machines: 5, spare: true })
		const idle = createPool('idle', { machines: 3 })
		const busy = createPool('busy', { machines: 2, demandCores: 40 })
		const moves = policy.plan([spare, idle, busy], 10_000)
		expect(moves.map((move) => move.from)).toEqual(['idle'])
	})

	it('turns off machines that stay idle, down to the minimum size of a pool', () => {
		const spare = createPool('spare', { machines: 0, spare: true })
		const idle = createPool('idle', { machines: 6 })
		const busy = createPool('busy', { machines: 3, demandCores: 20 })
		expect(policy.plan([spare, idle, busy], 400)).toEqual([])
		expect(policy.plan([spare, idle, busy], 10_000)).toHaveLength(5)
	})

	it('keeps warm machines while no pool has demand', () => {
		const spare = createPool('spare', { machines: 0, spare: true })
		const idle = createPool('idle', { machines: 6 })
		expect(new DemandPoolPolicy().plan([spare, idle], 10_000)).toHaveLength(2)
	})

	it('shares scarce machines in proportion to the target sizes', () => {
		const large = createPool('large', { machines: 2, demandCores: 300 })
		const small = createPool('small', { machines: 0, demandCores: 60 })
		const idle = createPool('idle', { machines: 10 })
		const moves = policy.plan([large, small, idle], 10_000)
		expect(moves.filter((move) => move.to === 'small').length).toBeGreaterThan(0)
		expect(moves.filter((move) => move.to === 'large').length).toBeGreaterThan(4)
	})

	it('adds the work that arrives while a machine moves if tasks already wait', () => {
		const demand = { machines: 10, demandCores: 300, usedCores: 160, arrivalTime: 1_400 }
		const waiting = createPool('rising', { ...demand, pendingCores: 160 })
		expect(policy.getTargetSize(waiting)).toBe(Math.ceil(((160 + 160 + 140) * 1.1) / 16))
		expect(policy.getTargetSize(createPool('steady', demand))).toBe(21)
	})

	it('sizes a pool that has no machines by its pending work', () => {
		expect(policy.getTargetSize(createPool('empty', { machines: 0, pendingCores: 160 }))).toBe(11)
	})
})

describe('late jobs of one pool while another pool can still finish on time', () => {
	const late = createPool('late', { machines: 8, lateCores: 400 })
	const inTime = createPool('in-time', { machines: 2, pendingCores: 90 })

	it('do not keep machines that the other pool needs', () => {
		const moves = new DemandPoolPolicy().plan([late, inTime], 10_000)
		expect(moves.filter(({ to }) => to === 'in-time')).toHaveLength(5)
		expect(moves.filter(({ to }) => to === 'late')).toEqual([])
	})

	it('are limited to the target size of their pool until the other pool has enough machines', () => {
		const limited = new DemandPoolPolicy()
		const withoutIdle = {
			...late,
			machines: late.machines.map(({ id }) => ({ id, idleSince: undefined })),
		}
		limited.plan([withoutIdle, inTime], 10_000)
		expect(limited.getMachineLimit(withoutIdle, true)).toBe(2)
		limited.plan([withoutIdle, createPool('in-time', { machines: 8, pendingCores: 90 })], 10_000)
		expect(limited.getMachineLimit(withoutIdle, true)).toBeUndefined()
	})

	it('get the remaining machines if no pool is short', () => {
		const spare = createPool('spare', { machines: 6, spare: true })
		const latePool = createPool('late', { machines: 2, lateCores: 90 })
		const moves = new DemandPoolPolicy().plan([spare, latePool], 10_000)
		expect(moves).toHaveLength(6)
	})
})

function createPool(
	service: string,
	options: Partial<Omit<PoolState, 'machines'>> & { readonly machines: number }
): PoolState {
	const { machines, ...rest } = options
	return {
		service,
		spare: false,
		machineCores: 16,
		usableMachines: machines,
		arrivingMachines: 0,
		arrivalTime: 0,
		demandCores: 0,
		usedCores: 0,
		pendingCores: 0,
		lateCores: 0,
		lastingCores: 0,
		minimumLastingMachines: 0,
		missingLastingMachines: 0,
		...rest,
		machines: Array.from({ length: machines }, (_, index) => ({
			id: `${service}-${index}`,
			idleSince: 0,
		})),
	}
}
