import { describe, expect, it } from 'vitest'
import type { FleetState } from '../state/FleetState.js'
import type { Wave } from '../state/Wave.js'
import { createFleetState } from '../state/createFleetState.js'
import { createStatusReport } from './createStatusReport.js'
import type { DaemonStatus } from './DaemonStatus.js'
import { mergeStatusReports } from './mergeStatusReports.js'

function createState(): FleetState {
	const state = createFleetState()
	state.offset = 9
	state.version = 3
	state.availabilityZones = ['a', 'b']
	state.pools.set('p', { name: 'p', spare: false, minimumAvailable: 1, maximumUnavailable: 1 })
	state.teams.set('big', { name: 'big', share: 3, limit: 12 })
	state.teams.set('small', { name: 'small', share: 1, limit: 4 })
	state.teams.set('idle', { name: 'idle', share: 6, limit: 4 })
	for (const [name, zone] of [
		['s1', 'a'],
		['s2', 'b'],
	] as const) {
		const address = `127.0.0.1:${name.slice(1)}`
		const sizes = { rack: 'r', address, slots: 8, connections: 64 }
		state.backendServers.set(name, { name, availabilityZone: zone, pool: 'p', ...sizes })
		state.placements.set(name, { pool: 'p', health: 'healthy', activity: { type: 'serving' } })
	}
	for (const [instance, zone] of [
		['d1', 'a'],
		['d2', 'b'],
	] as const) {
		state.members.set(instance, {
			instance,
			availabilityZone: zone,
			peerAddress: '127.0.0.1:1',
			joinedOffset: 0,
			renewedAt: 0,
			lapsed: false,
			sequence: 1,
			allowances: new Map([['big', 6]]),
		})
	}
	return state
}

function createDaemon(fields: Partial<DaemonStatus> = {}): DaemonStatus {
	return {
		instance: 'd1',
		availabilityZone: 'a',
		source: 'self',
		reachable: true,
		offset: 9,
		version: 3,
		leaving: false,
		teams: [
			{
				team: 'big',
				running: 6,
				queued: 2,
				usable: 6,
				pools: [{ pool: 'p', running: 6, queued: 2 }],
			},
			{ team: 'small', running: 2, queued: 0, usable: 2, pools: [] },
		],
		...fields,
	}
}

function createWave(fields: Partial<Wave> = {}): Wave {
	return {
		id: 'spring',
		state: 'running',
		reason: '',
		parallelism: 1,
		failureLimit: 0,
		steps: new Map([
			['s1', 'waiting'],
			['s2', 'waiting'],
		]),
		outcomes: [],
		...fields,
	}
}

describe('createStatusReport', () => {
	it('counts reachable daemons and lists members without a digest as unreachable', () => {
		const report = createStatusReport({
			state: createState(),
			instance: 'd1',
			daemons: [createDaemon()],
		})
		expect(report.zones).toMatchObject([
			{ availabilityZone: 'a', daemons: 1, reachableDaemons: 1, running: 8, queued: 2 },
			{ availabilityZone: 'b', daemons: 1, reachableDaemons: 0, running: 0 },
		])
		expect(report.daemons[1]).toMatchObject({ instance: 'd2', source: 'log', reachable: false })
		expect(report.pools).toMatchObject([{ running: 6, queued: 2, slots: 16, available: 2 }])
	})

	it('divides the share among the teams that have requests', () => {
		const daemons = [createDaemon()]
		const { teams } = createStatusReport({ state: createState(), instance: 'd1', daemons })
		expect(teams).toMatchObject([
			{ team: 'big', sharePart: 0.75, reachedPart: 0.75, allowances: [{ units: 6 }, { units: 6 }] },
			{ team: 'small', sharePart: 0.25, reachedPart: 0.25 },
			{ team: 'idle', sharePart: 0, reachedPart: 0 },
		])
	})

	it.each([
		[createWave({ state: 'paused', reason: 'lunch' }), 'the wave is paused: lunch'],
		[
			createWave({
				steps: new Map([
					['s1', 'draining'],
					['s2', 'waiting'],
				]),
			}),
			'1 of 1 backend servers are out',
		],
		[createWave(), 'nothing; its step is about to be proposed'],
	])('reports what the next step of a wave waits for', (wave, waitsFor) => {
		const state = createState()
		state.waves.set('spring', wave)
		const report = createStatusReport({ state, instance: 'd1', daemons: [] })
		expect(report.waves[0]?.next?.waitsFor).toBe(waitsFor)
	})

	it('names the availability budget that blocks a wave', () => {
		const state = createState()
		state.waves.set('spring', createWave({ parallelism: 2 }))
		state.placements.set('s2', {
			pool: 'p',
			health: 'healthy',
			activity: { type: 'draining', reason: 'operator' },
		})
		const report = createStatusReport({ state, instance: 'd1', daemons: [] })
		expect(report.waves[0]?.next?.waitsFor).toBe('pool p would have 0 available, minimum 1')
		expect(report.outOfService).toMatchObject([{ activity: 'draining for an operator' }])
	})
})

describe('mergeStatusReports', () => {
	it('takes the state with the highest offset and the most recent row of each daemon', () => {
		const state = createState()
		const stale = createDaemon({
			instance: 'd2',
			source: 'digest',
			ageMilliseconds: 900,
			teams: [],
		})
		const first = createStatusReport({ state, instance: 'd1', daemons: [createDaemon(), stale] })
		state.offset = 12
		const own = createDaemon({ instance: 'd2', availabilityZone: 'b' })
		const second = createStatusReport({ state, instance: 'd2', daemons: [own] })
		const merged = mergeStatusReports([first, second])
		expect(merged).toMatchObject({ offset: 12, teams: [{ running: 12 }, {}, {}] })
		expect(merged?.daemons.map((row) => row.source)).toEqual(['self', 'self'])
		expect(merged?.unheard).toEqual([{ instance: 'd1', by: 'd2' }])
		expect(mergeStatusReports([])).toBeUndefined()
	})
})
