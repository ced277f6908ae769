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
	const take = (draft: Draft): string => {
		offset += 1
		const decision = fold.apply({ offset, at: 0, proposal: { ...draft, id: `id-${offset}` } })
		return decision?.type === 'rejected' ? decision.reason : 'accepted'
	}
	for (let member = 0; member < (options.members ?? 3); member += 1) {
		take({
			kind: 'join',
			instance: `m${member}`,
			availabilityZone: 'a',
			peerAddress: '127.0.0.1:1',
		})
	}
	return { fold, take, since: () => offset }
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

test('a step confirmed for an earlier drain is rejected after an abort and a second drain', () => {
	const { take, since } = createFold()
	take(wave('s0'))
	expect(take(step('drain'))).toBe('accepted')
	const earlier = since()
	expect(take(step('abort'))).toBe('accepted')
	expect(take(step('drain'))).toBe('accepted')
	const later = since()
	expect(take(step('maintain', earlier))).toMatch(/past/)
	expect(take(step('maintain'))).toMatch(/names no offset/)
	expect(take(step('maintain', later))).toBe('accepted')
})

test('a reassign confirmed for an earlier drain is rejected', () => {
	const { take, since } = createFold()
	take(move('drain'))
	const earlier = since()
	take(move('abort'))
	take(move('drain'))
	const later = since()
	expect(take(move('reassign', earlier))).toMatch(/past/)
	expect(take(move('reassign', later))).toBe('accepted')
	expect(take(move('finish'))).toBe('accepted')
})

test('a backend server is in one wave, move or drain at a time', () => {
	const { take } = createFold()
	take(wave('s0'))
	expect(take(move('drain'))).toBe('accepted')
	expect(take(step('drain'))).toMatch(/already draining/)
	expect(take(move('drain'))).toMatch(/already draining/)
	expect(take({ kind: 'drain', backendServer: 's0', draining: true, operator: 'o' })).toMatch(
		/already draining/
	)
	expect(take({ kind: 'drain', backendServer: 's0', draining: false, operator: 'o' })).toMatch(
		/not drained by an operator/
	)
	expect(take(move('abort'))).toBe('accepted')
	expect(take(step('drain'))).toBe('accepted')
	expect(take(move('drain'))).toMatch(/already draining/)
})

test('a move names the pool that the backend server is in', () => {
	const { fold, take } = createFold()
	expect(
		take({ kind: 'move', backendServer: 's0', from: 'q', to: 'p', step: 'drain', proposer: 'm0' })
	).toMatch(/is in pool p/)
	expect(fold.state.placements.get('s0')?.activity).toEqual({ type: 'serving' })
})

test('an abort after the reassignment brings the backend server back through a health check', () => {
	const { fold, take, since } = createFold()
	take(move('drain'))
	take(move('reassign', since()))
	expect(take(move('abort'))).toBe('accepted')
	expect(fold.state.placements.get('s0')).toMatchObject({
		pool: 'p',
		activity: { type: 'joining', from: 'q' },
	})
	expect(
		take({ kind: 'move', backendServer: 's0', from: 'q', to: 'p', step: 'finish', proposer: 'm0' })
	).toBe('accepted')
})

test('an operator drain respects the budget unless it overrides it', () => {
	const { take } = createFold({ servers: 2 })
	const drain = (backendServer: string, override?: boolean): string =>
		take({ kind: 'drain', backendServer, draining: true, override, operator: 'o' })
	expect(drain('s0')).toBe('accepted')
	expect(drain('s1')).toMatch(/0 available, minimum 1/)
	expect(drain('s1', true)).toBe('accepted')
})

test('a backend server that fails after its maintenance pauses the wave', () => {
	const { fold, take, since } = createFold()
	take(wave('s0', 's1'))
	take(step('drain'))
	take(step('maintain', since()))
	expect(take(step('finish'))).toBe('accepted')
	for (const instance of ['m0', 'm1'])
		take({ kind: 'health', instance, failed: ['s0'], healthy: [] })
	expect(fold.state.waves.get('w')).toMatchObject({ state: 'paused' })
	expect(
		take({ kind: 'wave-step', wave: 'w', backendServer: 's1', step: 'drain', proposer: 'm0' })
	).toMatch(/is paused/)
	expect(take({ kind: 'wave', wave: 'w', action: { type: 'resume' }, operator: 'o' })).toBe(
		'accepted'
	)
	expect(
		take({ kind: 'wave-step', wave: 'w', backendServer: 's1', step: 'drain', proposer: 'm0' })
	).toBe('accepted')
})

test('an aborted wave gives back what drains and lets maintenance end', () => {
	const { fold, take, since } = createFold()
	take(wave('s0', 's1', 's2'))
	take(step('drain'))
	take(step('maintain', since()))
	take({ kind: 'wave-step', wave: 'w', backendServer: 's1', step: 'drain', proposer: 'm0' })
	expect(take({ kind: 'wave', wave: 'w', action: { type: 'abort' }, operator: 'o' })).toBe(
		'accepted'
	)
	expect(fold.state.placements.get('s1')?.activity).toEqual({ type: 'serving' })
	expect(fold.state.placements.get('s0')?.activity.type).toBe('maintenance')
	expect(take(step('finish'))).toBe('accepted')
	expect(fold.state.waves.get('w')?.state).toBe('aborted')
})
