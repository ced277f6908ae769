import { PoolPolicy } from './PoolPolicy.js'
import type { MachineMove } from './MachineMove.js'
import { getFairShares } from '../scarcity/getFairShares.js'
import type { PoolState } from './PoolState.js'

/** Cores provided per core of demand, because tasks do not fill machines evenly. */
const HEADROOM = 1.1
/** Minimum size of a pool, so that it survives the loss of a machine. */
const MINIMUM_MACHINES = 2
/** How long a machine must be idle before it moves to another pool, in milliseconds. */
const TRANSFER_IDLE_TIME = 300
/** How long a machine that no pool needs must be idle before it is turned off, in milliseconds. */
const SHUTDOWN_IDLE_TIME = 1_000
/** Machines that each pool keeps on while there is no demand, ready for the first jobs. */
const WARM_MACHINES = 4
/**
 * How long warm machines are kept after demand has returned, in milliseconds. By then it shows which
 * pools need machines.
 */
const WARM_TIME = 3_000
/** Demand below which a pool counts as having none, in cores. */
const MINIMUM_DEMAND = 1
/**
 * Share of its fair share below which a pool gets machines of pools beyond theirs. Less than 1, so that
 * machines do not move for small differences.
 */
const NEEDY_COVERAGE = 0.75
/** Time in which work that accumulates while a machine moves should be done, in milliseconds. */
const BACKLOG_TIME = 1_400

interface PoolBalance {
	readonly pool: PoolState
	/** Number of machines that the pool should have. */
	readonly targetSize: number
	/** Number of further machines that late jobs could use. */
	readonly lateMachines: number
	/**
	 * Machines beyond the target size, arriving ones included; negative if the pool is short. The second
	 * pass also subtracts the machines that late jobs could use.
	 */
	surplus: number
	/** Idle machines, longest idle first. */
	readonly idleMachines: { readonly id: string; readonly idleSince: number }[]
}

/**
 * Moves machines to where the demand is. Pools that are short get idle machines from pools with a
 * surplus, then from the spare pool. Machines that stay idle are turned off.
 *
 * @public
 */
export class DemandPoolPolicy extends PoolPolicy {
	/** Time of the latest plan without demand, on the owner's monotonic clock in milliseconds. */
	private lastWithoutDemandAt = -Infinity
	/** Services that the latest plan left short of machines for jobs that can finish on time. */
	private readonly shortServices = new Set<string>()
	/** Fair shares of the pools that have more machines while another one lacks its own, by service. */
	private readonly restrainedShares = new Map<string, number>()

	override plan(pools: readonly PoolState[], now: number): readonly MachineMove[] {
		const balances = pools.map((pool) => this.getBalance(pool))
		if (hasNoDemand(pools)) this.lastWithoutDemandAt = now
		const minimumPoolSize = now - this.lastWithoutDemandAt < WARM_TIME ? WARM_MACHINES : 0
		const moves = this.returnShares(balances, now)
		moves.push(...coverShortages(balances, now))
		this.shortServices.clear()
		for (const { pool, surplus } of balances) if (surplus < 0) this.shortServices.add(pool.service)
		// Late jobs only get machines that no other job needs.
		for (const balance of balances) balance.surplus -= balance.lateMachines
		if (this.shortServices.size === 0) moves.push(...coverShortages(balances, now))
		moves.push(...turnOffIdleMachines(balances, now, minimumPoolSize))
		return moves
	}

	/**
	 * Limits late jobs to the pool's target size while another pool is short of machines for jobs that
	 * can finish on time, and all jobs to the pool's fair share while another pool lacks its own. The
	 * remaining machines then become idle and can move to that pool.
	 */
	override getMachineLimit(pool: PoolState, isLate: boolean): number | undefined {
		const share = this.restrainedShares.get(pool.service)
		const others = [...this.shortServices].filter((service) => service !== pool.service)
		if (!isLate || others.length === 0) return share
		return Math.min(share ?? Infinity, this.getTargetSize(pool))
	}

	override getTargetSize(pool: PoolState): number {
		if (pool.spare || pool.machineCores === 0) return 0
		const neededCores = pool.usedCores + pool.pendingCores + getBacklogGrowth(pool)
		const batchCores = Math.max(pool.demandCores, neededCores)
		const cores = batchCores * HEADROOM + pool.lastingCores
		const { usableMachines, missingLastingMachines } = pool
		return Math.max(
			MINIMUM_MACHINES,
			pool.minimumLastingMachines,
			missingLastingMachines > 0 ? usableMachines + missingLastingMachines : 0,
			Math.ceil(cores / pool.machineCores)
		)
	}

	/**
	 * Moves idle machines from pools that have more than their fair share, and want still more, to pools
	 * that lack theirs. Shares are scarce only if all pools together want more machines than there are.
	 */
	private returnShares(balances: readonly PoolBalance[], now: number): MachineMove[] {
		this.restrainedShares.clear()
		const claims = new Map(
			balances
				.filter(({ pool }) => !pool.spare)
				.map(({ pool, targetSize }) => [pool.service, targetSize])
		)
		const total = balances.reduce((sum, balance) => sum + countObtainable(balance), 0)
		const shares = getFairShares(claims, total)
		const getExcess = (balance: PoolBalance): number =>
			getSize(balance) - (shares.get(balance.pool.service) ?? Infinity)
		const needy = balances.filter(
			(balance) => getSize(balance) < (shares.get(balance.pool.service) ?? 0) * NEEDY_COVERAGE
		)
		const donors = balances.filter(
			(balance) => balance.surplus <= 0 && getExcess(balance) > 0 && !balance.pool.spare
		)
		if (needy.length === 0) return []
		const moves: MachineMove[] = []
		for (const donor of donors) {
			const { service } = donor.pool
			this.restrainedShares.set(service, shares.get(service) ?? 0)
			while (getExcess(donor) > 0 && hasMachineIdleFor(donor, now, TRANSFER_IDLE_TIME)) {
				const receiver = needy.sort((a, b) => getExcess(a) - getExcess(b))[0]
				const isLacking = receiver && getExcess(receiver) < 0
				const move = isLacking && transferMachine(donor, receiver)
				if (!move) break
				moves.push(move)
			}
		}
		return moves
	}

	private getBalance(pool: PoolState): PoolBalance {
		const idleMachines: PoolBalance['idleMachines'] = []
		for (const { id, idleSince } of pool.machines) {
			if (idleSince !== undefined) idleMachines.push({ id, idleSince })
		}
		idleMachines.sort((a, b) => a.idleSince - b.idleSince)
		const targetSize = this.getTargetSize(pool)
		const lateMachines = pool.machineCores > 0 ? Math.ceil(pool.lateCores / pool.machineCores) : 0
		return {
			pool,
			targetSize,
			lateMachines,
			surplus: pool.machines.length + pool.arrivingMachines - targetSize,
			idleMachines,
		}
	}
}

/**
 * Returns the cores needed for the work that a pool with unplaced tasks accumulates until a machine
 * ordered now can run tasks, because work arrives faster than the cores in use do it. At most as much
 * as waits now, because the measured demand also rises by jobs that arrive at once.
 */
function getBacklogGrowth(pool: PoolState): number {
	const excess = Math.max(0, pool.demandCores - pool.usedCores)
	return Math.min((excess * pool.arrivalTime) / BACKLOG_TIME, pool.pendingCores)
}

/** Returns the machines that a pool has or will have. */
function getSize({ targetSize, surplus }: PoolBalance): number {
	return targetSize + surplus
}

/** Returns the machines that pools can have: those of a spare pool only if they can be ordered. */
function countObtainable(balance: PoolBalance): number {
	return balance.pool.spare ? balance.idleMachines.length : getSize(balance)
}

/** Moves machines one by one, each to the pool that is furthest below its target size. */
function coverShortages(balances: readonly PoolBalance[], now: number): MachineMove[] {
	const moves: MachineMove[] = []
	for (;;) {
		const shortPools = balances.filter((balance) => balance.surplus < 0)
		const receiver = shortPools.sort((a, b) => getCoverage(a) - getCoverage(b))[0]
		const move = receiver && moveMachineTo(balances, receiver, now)
		if (!move) return moves
		moves.push(move)
	}
}

/** Returns the share of its target size that a pool has. */
function getCoverage(balance: PoolBalance): number {
	return getSize(balance) / balance.targetSize
}

function moveMachineTo(
	balances: readonly PoolBalance[],
	receiver: PoolBalance,
	now: number
): MachineMove | undefined {
	const donors = balances.filter(
		(balance) => balance.surplus > 0 && hasMachineIdleFor(balance, now, TRANSFER_IDLE_TIME)
	)
	donors.sort((a, b) => Number(a.pool.spare) - Number(b.pool.spare) || b.surplus - a.surplus)
	const donor = donors[0]
	return donor && transferMachine(donor, receiver)
}

/**
 * Moves surplus machines to the spare pool, where they are off.
 *
 * @param minimumPoolSize - number of machines that a pool keeps even if its target size is lower
 */
function turnOffIdleMachines(
	balances: readonly PoolBalance[],
	now: number,
	minimumPoolSize: number
): MachineMove[] {
	const spare = balances.find((balance) => balance.pool.spare)
	if (!spare) return []
	const moves: MachineMove[] = []
	for (const donor of balances) {
		if (donor.pool.spare) continue
		const maximumSurplus = Math.max(0, minimumPoolSize - donor.targetSize)
		while (donor.surplus > maximumSurplus && hasMachineIdleFor(donor, now, SHUTDOWN_IDLE_TIME)) {
			const move = transferMachine(donor, spare)
			if (!move) break
			moves.push(move)
		}
	}
	return moves
}

/** Whether no pool has demand, so that it is unknown which pool will need machines next. */
function hasNoDemand(pools: readonly PoolState[]): boolean {
	return pools.every(
		(pool) => pool.demandCores + pool.usedCores + pool.pendingCores < MINIMUM_DEMAND
	)
}

function hasMachineIdleFor(balance: PoolBalance, now: number, duration: number): boolean {
	const longest = balance.idleMachines[0]
	return longest !== undefined && now - longest.idleSince >= duration
}

function transferMachine(donor: PoolBalance, receiver: PoolBalance): MachineMove | undefined {
	const machine = donor.idleMachines.shift()
	if (!machine) return undefined
	donor.surplus -= 1
	receiver.surplus += 1
	return { machine: machine.id, from: donor.pool.service, to: receiver.pool.service }
}
