import { PoolPolicy } from './PoolPolicy.js'
import type { MachineMove } from './MachineMove.js'
import type { PoolState } from './PoolState.js'

/** Capacity for each core of demand: tasks do not fill machines evenly. */
const HEADROOM = 1.1
/** Fewest machines of a pool, so that one may be lost. */
const MINIMUM_MACHINES = 2
/** A machine is given to another pool once it was idle for this long, in milliseconds. */
const TRANSFER_IDLE_TIME = 300
/** A machine that no pool needs is turned off once it was idle for this long, in milliseconds. */
const SHUTDOWN_IDLE_TIME = 1_000
/** Machines that each pool keeps on while nothing is asked, for whichever is asked first. */
const WARM_MACHINES = 4
/** Time for the first demand to show where it is, in milliseconds. */
const WARM_TIME = 3_000
/** Cores below which nothing counts as asked. */
const MINIMUM_DEMAND = 1

interface PoolBalance {
	readonly pool: PoolState
	/** Machines that it should have. */
	readonly targetSize: number
	/** Machines that its late work could use besides. */
	readonly lateMachines: number
	/** Machines that it has, less those that it should have; later also less those for its late work. */
	surplus: number
	/** Idle machines that it may give, longest idle first. */
	readonly idleMachines: { readonly id: string; readonly idleSince: number }[]
}

/**
 * Follows demand that turns from pool to pool: pools that are short take idle machines from pools
 * that are not, then from the spare pool; what stays idle is turned off.
 *
 * @public
 */
export class DemandPoolPolicy extends PoolPolicy {
	/** Instant since which something has been asked. */
	private activeSince = -Infinity
	/** Services that the latest plan left short of machines for work that can be in time. */
	private readonly shortServices = new Set<string>()

	override plan(pools: readonly PoolState[], now: number): readonly MachineMove[] {
		const balances = pools.map((pool) => this.getBalance(pool))
		if (hasNoDemand(pools)) this.activeSince = now
		const kept = now - this.activeSince < WARM_TIME ? WARM_MACHINES : 0
		const moves = coverShortages(balances, now)
		this.shortServices.clear()
		for (const { pool, surplus } of balances) if (surplus < 0) this.shortServices.add(pool.service)
		// What is left is for late work.
		for (const balance of balances) balance.surplus -= balance.lateMachines
		if (this.shortServices.size === 0) moves.push(...coverShortages(balances, now))
		moves.push(...turnOffIdleMachines(balances, now, kept))
		return moves
	}

	/**
	 * While another pool is short for work that can be in time, late work keeps to the machines that
	 * the pool needs anyway, so that the others fall idle and can be given away.
	 */
	override getLateMachineLimit(pool: PoolState): number | undefined {
		const others = [...this.shortServices].filter((service) => service !== pool.service)
		return others.length === 0 ? undefined : this.getTargetSize(pool)
	}

	override getTargetSize(pool: PoolState): number {
		if (pool.spare || pool.machineCores === 0) return 0
		const batch = Math.max(pool.demandCores, pool.usedCores + pool.pendingCores)
		const cores = batch * HEADROOM + pool.lastingCores
		return Math.max(
			MINIMUM_MACHINES,
			pool.minimumLastingMachines,
			Math.ceil(cores / pool.machineCores)
		)
	}

	private getBalance(pool: PoolState): PoolBalance {
		const idle: PoolBalance['idleMachines'] = []
		for (const { id, idleSince } of pool.machines) {
			if (idleSince !== undefined) idle.push({ id, idleSince })
		}
		idle.sort((a, b) => a.idleSince - b.idleSince)
		const wanted = this.getTargetSize(pool)
		const late = pool.machineCores > 0 ? Math.ceil(pool.lateCores / pool.machineCores) : 0
		return {
			pool,
			targetSize: wanted,
			lateMachines: late,
			surplus: pool.machines.length + pool.arrivingMachines - wanted,
			idleMachines: idle,
		}
	}
}

/** Gives machines one by one to the pool that has the smallest part of what it should have. */
function coverShortages(balances: readonly PoolBalance[], now: number): MachineMove[] {
	const moves: MachineMove[] = []
	for (;;) {
		const short = balances.filter((balance) => balance.surplus < 0)
		const receiver = short.sort((a, b) => getCoverage(a) - getCoverage(b))[0]
		const move = receiver && moveMachineTo(balances, receiver, now)
		if (!move) return moves
		moves.push(move)
	}
}

function getCoverage({ targetSize: wanted, surplus }: PoolBalance): number {
	return (wanted + surplus) / wanted
}

function moveMachineTo(
	balances: readonly PoolBalance[],
	receiver: PoolBalance,
	now: number
): MachineMove | undefined {
	const givers = balances.filter(
		(balance) => balance.surplus > 0 && hasMachineIdleFor(balance, now, TRANSFER_IDLE_TIME)
	)
	givers.sort((a, b) => Number(a.pool.spare) - Number(b.pool.spare) || b.surplus - a.surplus)
	const giver = givers[0]
	return giver && transferMachine(giver, receiver)
}

/**
 * @param kept - machines that a pool keeps even if it does not need them
 */
function turnOffIdleMachines(
	balances: readonly PoolBalance[],
	now: number,
	kept: number
): MachineMove[] {
	const spare = balances.find((balance) => balance.pool.spare)
	if (!spare) return []
	const moves: MachineMove[] = []
	for (const giver of balances) {
		if (giver.pool.spare) continue
		const most = Math.max(0, kept - giver.targetSize)
		while (giver.surplus > most && hasMachineIdleFor(giver, now, SHUTDOWN_IDLE_TIME)) {
			const move = transferMachine(giver, spare)
			if (!move) break
			moves.push(move)
		}
	}
	return moves
}

/** Whether nothing is asked of any pool: then nobody can tell where the next demand will be. */
function hasNoDemand(pools: readonly PoolState[]): boolean {
	return pools.every(
		(pool) => pool.demandCores + pool.usedCores + pool.pendingCores < MINIMUM_DEMAND
	)
}

function hasMachineIdleFor(balance: PoolBalance, now: number, duration: number): boolean {
	const longest = balance.idleMachines[0]
	return longest !== undefined && now - longest.idleSince >= duration
}

function transferMachine(giver: PoolBalance, receiver: PoolBalance): MachineMove | undefined {
	const machine = giver.idleMachines.shift()
	if (!machine) return undefined
	giver.surplus -= 1
	receiver.surplus += 1
	return { machine: machine.id, from: giver.pool.service, to: receiver.pool.service }
}
