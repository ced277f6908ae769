import { describe, expect, it } from 'vitest'
import { DemandPoolPolicy } from './DemandPoolPolicy.js'
import type { PoolState } from './PoolState.js'

const policy = new DemandPoolPolicy()

describe('demand that turns from pool to pool', () => {
	it('gives idle machines of the pool that was busy to the pool that is', () => {
		const before = createPool('before', { machines: 8 })
		const now = createPool('now', { machines: 2, demandCores: 90, pendingCores: 60, usedCores: 30 })
		const moves = policy.plan([before, now], 10_000)
		expect(moves).toHaveLength(5)
		expect(moves.every((move) => move.from === 'before' && move.to === 'now')).toBe(true)
	})

	it('wakes spare machines only when no other pool has idle ones', () => {
		const spare = createPool('spare', { machines: 5, spare: true })
		const idle = createPool('idle', { machines: 3 })
		const busy = createPool('busy', { machines: 2, demandCores: 40 })
		const moves = policy.plan([spare, idle, busy], 10_000)
		expect(moves.map((move) => move.from)).toEqual(['idle'])
	})

	it('turns off what stays idle, down to the fewest machines of a pool', () => {
		const spare = createPool('spare', { machines: 0, spare: true })
		const idle = createPool('idle', { machines: 6 })
		const busy = createPool('busy', { machines: 3, demandCores: 20 })
		expect(policy.plan([spare, idle, busy], 400)).toEqual([])
		expect(policy.plan([spare, idle, busy], 10_000)).toHaveLength(5)
	})

	it('keeps some machines on while nothing is asked, for whichever pool is asked first', () => {
		const spare = createPool('spare', { machines: 0, spare: true })
		const idle = createPool('idle', { machines: 6 })
		expect(new DemandPoolPolicy().plan([spare, idle], 10_000)).toHaveLength(2)
	})

	it('shares too few machines in proportion to what pools need', () => {
		const large = createPool('large', { machines: 2, demandCores: 300 })
		const small = createPool('small', { machines: 0, demandCores: 60 })
		const idle = createPool('idle', { machines: 10 })
		const moves = policy.plan([large, small, idle], 10_000)
		expect(moves.filter((move) => move.to === 'small').length).toBeGreaterThan(0)
		expect(moves.filter((move) => move.to === 'large').length).toBeGreaterThan(4)
	})

	it('asks for machines for a pool that has none', () => {
		expect(policy.getTargetSize(createPool('empty', { machines: 0, pendingCores: 160 }))).toBe(11)
	})
})

describe('late work of one pool while another could still be in time', () => {
	const late = createPool('late', { machines: 8, lateCores: 400 })
	const inTime = createPool('in-time', { machines: 2, pendingCores: 90 })

	it('is no reason to keep machines that the other pool needs', () => {
		const moves = new DemandPoolPolicy().plan([late, inTime], 10_000)
		expect(moves.filter(({ to }) => to === 'in-time')).toHaveLength(5)
		expect(moves.filter(({ to }) => to === 'late')).toEqual([])
	})

	it('keeps to the machines that its pool needs anyway, until the other pool is served', () => {
		const busy = new DemandPoolPolicy()
		const none = {
			...late,
			machines: late.machines.map(({ id }) => ({ id, idleSince: undefined })),
		}
		busy.plan([none, inTime], 10_000)
		expect(busy.getLateMachineLimit(none)).toBe(2)
		busy.plan([none, createPool('in-time', { machines: 8, pendingCores: 90 })], 10_000)
		expect(busy.getLateMachineLimit(none)).toBeUndefined()
	})

	it('takes what is left when no pool is short', () => {
		const spare = createPool('spare', { machines: 6, spare: true })
		const alone = createPool('late', { machines: 2, lateCores: 90 })
		const moves = new DemandPoolPolicy().plan([spare, alone], 10_000)
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
		arrivingMachines: 0,
		demandCores: 0,
		usedCores: 0,
		pendingCores: 0,
		lateCores: 0,
		lastingCores: 0,
		minimumLastingMachines: 0,
		...rest,
		machines: Array.from({ length: machines }, (_, place) => ({
			id: `${service}-${place}`,
			idleSince: 0,
		})),
	}
}
