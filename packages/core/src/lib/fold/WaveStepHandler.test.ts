import { expect, test } from 'vitest'
import type { Proposal } from '../log/Proposal.js'
import { createFleetState } from '../state/createFleetState.js'
import { Fold } from './Fold.js'

type Draft<P = Proposal> = P extends Proposal ? Omit<P, 'id'> : never

function createFold(options: { servers?: number; members?: number } = {}) {
	const state = createFleetState()
	for (const name of ['p', 'q']) {
		state.pools.set(name, { name, spare: false, minimumAvailable: 1, maximumUnavailable: 2 })
	}
	for (let count = 0; count < (options.servers ?? 4); count += 1) {
		const name = `s${count}`
		state.backendServers.set(name, {
			name,
			availabilityZone: 'a',
			rack: 'r',
			address: '',
			pool: 'p',
			slots: 8,
			connections: 64,
		})
		state.placements.set(name, { pool: 'p', health: 'healthy', activity: { type: 'serving' } })
	}
	const fold = new Fold(state)
	let offset = -1
	const propose = (draft: Draft): string => {
		offset += 1
		const decision = fold.apply({ offset, at: 0, proposal: { ...draft, id: `id-${offset}` } })
		return decision?.type === 'rejected' ? decision.reason : 'accepted'
	}
	for (let member = 0; member < (options.members ?? 3); member += 1) {
		propose({
			kind: 'join',
			instance: `m${member}`,
			availabilityZone: 'a',
			peerAddress: '127.0.0.1:1',
		})
	}
	return { fold, propose, getLastOffset: () => offset }
}

function wave(...backendServers: string[]): Draft {
	const action = { type: 'create' as const, backendServers, parallelism: 2, failureLimit: 0 }
	return { kind: 'wave', wave: 'w', action, operator: 'o' }
}

function step(name: 'drain' | 'maintain' | 'finish' | 'fail' | 'abort', since?: number): Draft {
	return { kind: 'wave-step', wave: 'w', backendServer: 's0', step: name, since, proposer: 'm0' }
}

function move(name: 'drain' | 'reassign' | 'finish' | 'abort', since?: number): Draft {
	return {
		kind: 'move',
		backendServer: 's0',
		from: 'p',
		to: 'q',
		step: name,
		since,
		proposer: 'm0',
	}
}

test('rejects a wave step that follows from an earlier drain', () => {
	const { propose, getLastOffset } = createFold()
	propose(wave('s0'))
	expect(propose(step('drain'))).toBe('accepted')
	const earlier = getLastOffset()
	expect(propose(step('abort'))).toBe('accepted')
	expect(propose(step('drain'))).toBe('accepted')
	const later = getLastOffset()
	expect(propose(step('maintain', earlier))).toMatch(/past/)
	expect(propose(step('maintain'))).toMatch(/names no offset/)
	expect(propose(step('maintain', later))).toBe('accepted')
})

test('rejects a reassign that follows from an earlier drain', () => {
	const { propose, getLastOffset } = createFold()
	propose(move('drain'))
	const earlier = getLastOffset()
	propose(move('abort'))
	propose(move('drain'))
	const later = getLastOffset()
	expect(propose(move('reassign', earlier))).toMatch(/past/)
	expect(propose(move('reassign', later))).toBe('accepted')
	expect(propose(move('finish'))).toBe('accepted')
})

test('a backend server is in one wave, move or drain at a time', () => {
	const { propose } = createFold()
	propose(wave('s0'))
	expect(propose(move('drain'))).toBe('accepted')
	expect(propose(step('drain'))).toMatch(/already draining/)
	expect(propose(move('drain'))).toMatch(/already draining/)
	expect(propose({ kind: 'drain', backendServer: 's0', draining: true, operator: 'o' })).toMatch(
		/already draining/
	)
	expect(propose({ kind: 'drain', backendServer: 's0', draining: false, operator: 'o' })).toMatch(
		/not drained by an operator/
	)
	expect(propose(move('abort'))).toBe('accepted')
	expect(propose(step('drain'))).toBe('accepted')
	expect(propose(move('drain'))).toMatch(/already draining/)
})

test('rejects a move from a pool that the backend server is not in', () => {
	const { fold, propose } = createFold()
	expect(
		propose({
			kind: 'move',
			backendServer: 's0',
			from: 'q',
			to: 'p',
			step: 'drain',
			proposer: 'm0',
		})
	).toMatch(/is in pool p/)
	expect(fold.state.placements.get('s0')?.activity).toEqual({ type: 'serving' })
})

test('aborting a reassigned move returns the backend server once it is healthy', () => {
	const { fold, propose, getLastOffset } = createFold()
	propose(move('drain'))
	propose(move('reassign', getLastOffset()))
	expect(propose(move('abort'))).toBe('accepted')
	expect(fold.state.placements.get('s0')).toMatchObject({
		pool: 'p',
		activity: { type: 'joining', from: 'q' },
	})
	expect(
		propose({
			kind: 'move',
			backendServer: 's0',
			from: 'q',
			to: 'p',
			step: 'finish',
			proposer: 'm0',
		})
	).toBe('accepted')
})

test('a drain by an operator must keep the budget unless it overrides it', () => {
	const { propose } = createFold({ servers: 2 })
	const drain = (backendServer: string, override?: boolean): string =>
		propose({ kind: 'drain', backendServer, draining: true, override, operator: 'o' })
	expect(drain('s0')).toBe('accepted')
	expect(drain('s1')).toMatch(/0 available, minimum 1/)
	expect(drain('s1', true)).toBe('accepted')
})

test('a backend server that fails after its maintenance pauses the wave', () => {
	const { fold, propose, getLastOffset } = createFold()
	propose(wave('s0', 's1'))
	propose(step('drain'))
	propose(step('maintain', getLastOffset()))
	expect(propose(step('finish'))).toBe('accepted')
	for (const instance of ['m0', 'm1'])
		propose({ kind: 'health', instance, failed: ['s0'], healthy: [] })
	expect(fold.state.waves.get('w')).toMatchObject({ state: 'paused' })
	expect(
		propose({ kind: 'wave-step', wave: 'w', backendServer: 's1', step: 'drain', proposer: 'm0' })
	).toMatch(/is paused/)
	expect(propose({ kind: 'wave', wave: 'w', action: { type: 'resume' }, operator: 'o' })).toBe(
		'accepted'
	)
	expect(
		propose({ kind: 'wave-step', wave: 'w', backendServer: 's1', step: 'drain', proposer: 'm0' })
	).toBe('accepted')
})

test('aborting a wave returns draining backend servers and lets maintenance finish', () => {
	const { fold, propose, getLastOffset } = createFold()
	propose(wave('s0', 's1', 's2'))
	propose(step('drain'))
	propose(step('maintain', getLastOffset()))
	propose({ kind: 'wave-step', wave: 'w', backendServer: 's1', step: 'drain', proposer: 'm0' })
	expect(propose({ kind: 'wave', wave: 'w', action: { type: 'abort' }, operator: 'o' })).toBe(
		'accepted'
	)
	expect(fold.state.placements.get('s1')?.activity).toEqual({ type: 'serving' })
	expect(fold.state.placements.get('s0')?.activity.type).toBe('maintenance')
	expect(propose(step('finish'))).toBe('accepted')
	expect(fold.state.waves.get('w')?.state).toBe('aborted')
})
