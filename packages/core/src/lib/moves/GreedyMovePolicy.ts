import { MovePolicy } from './MovePolicy.js'
import type { MovePolicyInput } from './MovePolicyInput.js'
import type { PoolMove } from './PoolMove.js'
import type { PoolCapacity } from './PoolCapacity.js'

/**
 * Moves backend servers to pools that have more work than slots right now, from the pools with the
 * most idle servers. Used as a baseline.
 *
 * @public
 */
export class GreedyMovePolicy extends MovePolicy {
	override readonly name = 'greedy'

	override plan({ pools }: MovePolicyInput): readonly PoolMove[] {
		const idle = new Map(pools.map((pool) => [pool.pool, countIdle(pool)]))
		const moves: PoolMove[] = []
		for (const pool of pools) {
			for (let missing = countMissing(pool); missing > 0; missing -= 1) {
				const [donor, count] = [...idle].reduce((a, b) => (b[1] > a[1] ? b : a))
				if (count < 1 || donor === pool.pool) break
				idle.set(donor, count - 1)
				moves.push({ from: donor, to: pool.pool })
			}
		}
		return moves
	}
}

function countNeeded({ slotsPerServer, demand }: PoolCapacity): number {
	return Math.ceil((demand.running + demand.queued) / slotsPerServer)
}

function countMissing(pool: PoolCapacity): number {
	return countNeeded(pool) - pool.available - pool.arriving
}

function countIdle(pool: PoolCapacity): number {
	return Math.min(pool.movable, pool.available - countNeeded(pool))
}
