import {
	ForecastMovePolicy,
	MaintenanceMonitor,
	type MaintenanceProgress,
	type Milliseconds,
	MovePlanner,
	type Pool,
	WavePlanner,
} from '@mastichead/core'
import type { CapacityRow } from './capacity/CapacityRow.js'
import { createCapacityRow } from './capacity/createCapacityRow.js'
import { createSimulatedLog } from './createSimulatedLog.js'
import type { SimulatedLog } from './SimulatedLog.js'

const SERVER_COUNTS = [750, 1500, 3000, 6000]
const TARGET_SERVERS = 6000
const SERVERS_PER_POOL = 28
const ZONES = 9
const REPEAT_COUNT = 60
const TICK_INTERVAL: Milliseconds = 1000

/** Reports that no requests run and that the platform has finished all maintenance. */
class IdleMonitor extends MaintenanceMonitor {
	override isDrained(): boolean {
		return true
	}

	override isReady(): boolean {
		return true
	}

	override countRunning(): number {
		return 0
	}

	override getProgress(): MaintenanceProgress {
		return 'done'
	}
}

/**
 * Measures how the time to plan waves and moves and to fold a wave step grows with the fleet. Times
 * are medians in milliseconds.
 *
 * @public
 */
export function planningBench(): CapacityRow[] {
	const measured = SERVER_COUNTS.map((servers) => ({ servers, ...measureTimes(servers) }))
	const createRow = (name: string, key: 'wave' | 'move' | 'step') =>
		createCapacityRow(
			{ role: 'entry instance', measure: name, size: 'backend servers' },
			TARGET_SERVERS,
			measured.map((row) => [row.servers, row[key]] as const)
		)
	return [
		createRow('planning of a wave, ms a tick', 'wave'),
		createRow('planning of moves, ms a tick', 'move'),
		createRow('folding of a wave step, ms', 'step'),
	]
}

function measureTimes(servers: number): { wave: number; move: number; step: number } {
	const log = createLog(servers)
	const monitor = new IdleMonitor()
	const waves = new WavePlanner()
	const moves = new MovePlanner(new ForecastMovePolicy())
	const demands = new Map(
		[...log.state.pools.keys()].map((pool) => [
			pool,
			{ pool, running: 50, queued: 0, meanRunTime: 1000, toleratedWait: 4300 },
		])
	)
	const times = { wave: [] as number[], move: [] as number[], step: [] as number[] }
	for (let repeat = 1; repeat <= REPEAT_COUNT; repeat += 1) {
		const now = repeat * TICK_INTERVAL
		const { steps } = recordTime(times.wave, () => waves.plan(log.state, monitor))
		recordTime(times.move, () => moves.plan(log.state, monitor, demands, now))
		for (const step of steps) {
			const id = log.createId()
			recordTime(times.step, () =>
				log.append({ kind: 'wave-step', id, ...step, proposer: 'bench' }, now)
			)
		}
	}
	return {
		wave: getMedian(times.wave),
		move: getMedian(times.move),
		step: getMedian(times.step),
	}
}

function createLog(servers: number): SimulatedLog {
	const poolCount = Math.round(servers / SERVERS_PER_POOL)
	const pools = Array.from({ length: poolCount }, (_, index): Pool => {
		return {
			name: `pool-${index}`,
			spare: index === 0,
			minimumAvailable: 20,
			maximumUnavailable: 3,
		}
	})
	const rows = Array.from({ length: servers }, (_, index) => {
		const zone = Math.floor(index / poolCount) % ZONES
		const place = {
			availabilityZone: `z${zone}`,
			rack: `r${index % 1500}`,
			pool: `pool-${index % poolCount}`,
		}
		return { name: `s${index}`, ...place, address: '', slots: 8, connections: 64 }
	})
	const log = createSimulatedLog(pools, rows)
	const backendServers = rows.map(({ name }) => name)
	const action = { type: 'create', backendServers, parallelism: 4, failureLimit: 0 } as const
	log.append({ kind: 'wave', id: 'wave', wave: 'wave', action, operator: 'bench' }, 0)
	return log
}

function recordTime<Result>(times: number[], run: () => Result): Result {
	const startedAt = performance.now()
	const result = run()
	times.push(performance.now() - startedAt)
	return result
}

function getMedian(values: readonly number[]): number {
	const sorted = [...values].sort((a, b) => a - b)
	return sorted[Math.floor(sorted.length / 2)] ?? 0
}
