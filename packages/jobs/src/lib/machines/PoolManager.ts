import type {
	ArrivingMachines,
	BackendId,
	BackendRow,
	DemandMeter,
	MachineMove,
	PlacementPlanner,
	PoolPolicy,
	PoolState,
} from '@mastichead/core'
import { getBackendAvailability, getQueueRules } from '@mastichead/core'
import { ConcurrencyLimit } from '../ConcurrencyLimit.js'
import type { OwnerContext } from '../owner/terms/OwnerContext.js'
import type { MachineController } from '../ports/MachineController.js'
import type { MachineOrderResult } from '../ports/MachineOrderResult.js'
import type { MachineInventory } from './MachineInventory.js'
import { MachineOrderJournal } from './MachineOrderJournal.js'
import { OrderPace } from './OrderPace.js'

/** Time after a move until its machine is no longer expected to register, in milliseconds. */
const ARRIVAL_TIMEOUT = 4_000
/** Delay before the next order for a machine whose move failed, in milliseconds. */
const FAILED_MOVE_COOLDOWN = 2_000
/** Weight of the latest arrival in the average time of arrivals. */
const ARRIVAL_WEIGHT = 0.1
/** Maximum number of attempts of one order that gets no answer. */
const MAXIMUM_ATTEMPTS = 3
/** Maximum number of orders without an answer at a time, so that none waits after it was permitted. */
const MAXIMUM_ORDERS_IN_FLIGHT = 4
/** Time in which the orders of a round should have been sent, in milliseconds. */
const SEND_TIME = 500
/**
 * How long a server may be out of reach or avoided until its machine no longer counts, in milliseconds.
 * Shorter than a lease, so that a machine ordered instead is there when the server's tasks have ended.
 */
const TOLERATED_SILENCE = 2_000
const MILLICORES_PER_CORE = 1_000
const MILLISECONDS_PER_SECOND = 1_000
/** Interval between two log lines about the pools, in milliseconds. */
const LOG_INTERVAL = 1_000

/**
 * Moves idle machines between pools according to the policy.
 *
 * @public
 */
export class PoolManager {
	/** Machines being moved, with the target pool and the instant of the order. */
	private readonly arrivals = new Map<string, { readonly service: string; readonly at: number }>()
	/** Time until which no order is sent for a machine whose move failed, by machine. */
	private readonly pausedUntil = new Map<string, number>()
	/** Time since which each server that is out of reach or avoided has been so. */
	private silentSince: ReadonlyMap<BackendId, number> = new Map()
	/** Average time from an order until the machine could run tasks; 0 until a machine has arrived. */
	private arrivalTime = 0
	private poolStates: readonly PoolState[] = []
	private loggedAt = -Infinity
	private lastRoundAt: number | undefined
	/** Machine limits of the pools that give machines to others, by service. */
	private readonly restrained = new Map<string, number>()
	private readonly orderLimit = new ConcurrencyLimit(MAXIMUM_ORDERS_IN_FLIGHT)
	private readonly orderPace: OrderPace

	constructor(
		private readonly context: OwnerContext,
		private readonly options: {
			readonly controller: MachineController
			readonly inventory: MachineInventory
			readonly orders: Pick<MachineOrderJournal, 'record' | 'isSafeToOrder'>
			readonly policy: PoolPolicy
			readonly demand: DemandMeter
			/** Work that the latest plan could not place, and jobs that can no longer finish in time. */
			readonly planner: Pick<
				PlacementPlanner,
				'backlog' | 'lateBacklog' | 'lateJobs' | 'missingMachines'
			>
			/** Whether the registry is up to date, so that a machine joining a pool would be noticed. */
			readonly isRegistryFresh: () => boolean
			/** Whether a maintenance wave is evacuating the machine or has taken it down. */
			readonly isReserved: (machine: string) => boolean
			/** Orders for machines that the platform accepts in a second; no limit by default. */
			readonly ordersPerSecond?: number | undefined
		}
	) {
		this.orderPace = new OrderPace(context.timers, options.ordersPerSecond)
	}

	/** Whether machines are on their way to a pool. */
	get isAwaitingMachines(): boolean {
		return this.arrivals.size > 0
	}

	/** Plans the moves of one round and sends the orders. */
	runRound(): void {
		const now = this.context.timers.now()
		this.removeEndedArrivals(now)
		this.updateSilences(now)
		this.poolStates = this.getPoolStates(now)
		this.logPools(now)
		this.countIdleTime(now)
		if (!this.options.isRegistryFresh() || !this.context.mayOrderMachines()) return
		const moves = this.options.policy.plan(this.poolStates, now)
		for (const pool of this.poolStates) this.reportRestraint(pool)
		// Moves beyond the platform's rate are planned again in the next round.
		const sendable = moves.slice(0, this.orderPace.countWithin(SEND_TIME))
		if (sendable.length > 0) this.executeMoves(sendable).catch(this.context.fail)
	}

	private logPools(now: number): void {
		if (now - this.loggedAt < LOG_INTERVAL) return
		this.loggedAt = now
		const pools: Record<string, string> = {}
		for (const pool of this.poolStates) {
			const {
				service,
				machines,
				arrivingMachines,
				demandCores,
				usedCores,
				pendingCores,
				lastingCores,
				lateCores,
			} = pool
			const targetSize = this.options.policy.getTargetSize(pool)
			const cores = [demandCores, usedCores, pendingCores, lastingCores, lateCores]
				.map((value) => value.toFixed(0))
				.join('/')
			pools[service] = `${machines.length}+${arrivingMachines} of ${targetSize}, cores ${cores}`
		}
		this.context.events.info('pools-seen', pools)
	}

	/** Counts the time for which machines are held without work. */
	private countIdleTime(now: number): void {
		const elapsed = now - (this.lastRoundAt ?? now)
		this.lastRoundAt = now
		for (const { service, spare, machines } of this.poolStates) {
			if (spare) continue
			const idle = machines.filter(({ idleSince }) => idleSince !== undefined).length
			const seconds = (idle * elapsed) / MILLISECONDS_PER_SECOND
			this.context.metrics.count('idle_machine_seconds', service, seconds)
		}
	}

	/** Reports when a pool begins or ends to give machines to others. */
	private reportRestraint(pool: PoolState): void {
		const { service, machines } = pool
		const limit = this.options.policy.getMachineLimit(pool, false)
		const before = this.restrained.get(service)
		if (limit === undefined) this.restrained.delete(service)
		else this.restrained.set(service, limit)
		if ((limit === undefined) === (before === undefined)) return
		const { events, metrics } = this.context
		events.info('pool-restrained', { service, limit, before, machines: machines.length })
		if (limit !== undefined) metrics.count('pools_restrained', service)
	}

	/** Whether the machine is being moved and has not registered yet. */
	isArriving(machine: string): boolean {
		return this.arrivals.has(machine)
	}

	/** Returns the pool of a service as the latest round saw it. */
	getPool(service: string): PoolState | undefined {
		return this.poolStates.find((pool) => pool.service === service)
	}

	/** Returns how many machines the pool has beyond its need; negative if it is short. */
	getSlack(service: string): number {
		const pool = this.getPool(service)
		return pool ? pool.usableMachines - this.options.policy.getTargetSize(pool) : 0
	}

	/** Returns how many machines of a service's pool short tasks may use; undefined for all. */
	getMachineLimit(service: string, isLate: boolean): number | undefined {
		const pool = this.getPool(service)
		return pool && this.options.policy.getMachineLimit(pool, isLate)
	}

	/** Returns the machines that this term has ordered for a service's pool. */
	getArrivingMachines(service: string): ArrivingMachines {
		const now = this.context.timers.now()
		let count = 0
		let totalDelay = 0
		for (const arrival of this.arrivals.values()) {
			if (arrival.service !== service) continue
			count += 1
			totalDelay += Math.max(0, arrival.at + this.arrivalTime - now)
		}
		if (count === 0 || this.arrivalTime === 0) return { cores: 0, delay: 0 }
		return { cores: count * this.options.inventory.getMedianCores(), delay: totalDelay / count }
	}

	private removeEndedArrivals(now: number): void {
		for (const [machine, { service, at }] of this.arrivals) {
			const backend = this.options.inventory.getBackend(machine)
			const arrived = backend?.service === service && backend.reconciled
			if (arrived) this.recordArrivalTime(now - at)
			if (arrived || now - at > ARRIVAL_TIMEOUT) this.arrivals.delete(machine)
		}
	}

	private updateSilences(now: number): void {
		const silentSince = new Map<BackendId, number>()
		for (const row of this.context.backends.all) {
			const availability = getBackendAvailability(row, now)
			if (availability !== 'unreachable' && availability !== 'avoided') continue
			silentSince.set(row.id, this.silentSince.get(row.id) ?? now)
		}
		this.silentSince = silentSince
	}

	/** Whether a server's machine counts as one of its pool. */
	private isPoolMember(row: BackendRow, now: number): boolean {
		switch (getBackendAvailability(row, now)) {
			case 'usable':
				return true
			case 'unlisted':
				// Its first listing is under way. Until then it counts as arriving, if it was ordered.
				return !this.arrivals.has(row.machine)
			case 'unreachable':
			case 'avoided':
				return now - (this.silentSince.get(row.id) ?? now) < TOLERATED_SILENCE
			case 'unregistered':
			case 'closing':
				return false
		}
	}

	private recordArrivalTime(duration: number): void {
		if (this.arrivalTime === 0) this.arrivalTime = duration
		else this.arrivalTime += (duration - this.arrivalTime) * ARRIVAL_WEIGHT
	}

	private getPoolStates(now: number): PoolState[] {
		const configuration = this.context.getConfiguration()
		const states: PoolState[] = []
		for (const service of configuration.services) {
			const spare = configuration.spareServices.has(service)
			states.push(spare ? this.getSparePoolState(service, now) : this.getPoolState(service, now))
		}
		return states
	}

	private getPoolState(service: string, now: number): PoolState {
		const machines: { id: string; idleSince: number | undefined }[] = []
		const machineCores = this.options.inventory.getMedianCores()
		const backendsByMachine = this.options.inventory.getBackends()
		const { backlog, lateBacklog, missingMachines } = this.options.planner
		let usableMachines = 0
		let lastingCores = 0
		let usedCores = 0
		let lateCores = 0
		for (const row of this.context.backends.all) {
			if (row.tasks.size > 0) row.idleSince = now
			if (row.service === service) {
				usedCores += row.used.cpu / MILLICORES_PER_CORE
				lateCores += this.getLateCores(row)
			}
			if (row.service !== service || !row.registered || isClosing(row)) continue
			lastingCores += getLastingCores(row)
			// A server that has left may stay registered beside its successor on the machine.
			if (row.machine !== '' && backendsByMachine.get(row.machine) !== row) continue
			if (!this.isPoolMember(row, now)) continue
			machines.push({ id: row.machine, idleSince: this.getIdleSince(row, now) })
			if (getBackendAvailability(row, now) === 'usable') usableMachines += 1
		}
		return {
			service,
			spare: false,
			machineCores,
			machines,
			usableMachines,
			arrivingMachines: this.countArrivingMachines(service),
			arrivalTime: this.arrivalTime,
			demandCores: this.options.demand.getCores(service, now),
			usedCores: Math.max(0, usedCores - lastingCores - lateCores),
			pendingCores: backlog.get(service) ?? 0,
			lateCores: lateCores + (lateBacklog.get(service) ?? 0),
			lastingCores,
			minimumLastingMachines: this.getMinimumLastingMachines(service),
			missingLastingMachines: missingMachines.get(service) ?? 0,
		}
	}

	/** Counts the machines on the way to a pool, also those that an earlier owner has ordered. */
	private countArrivingMachines(service: string): number {
		const own = [...this.arrivals.values()].filter((entry) => entry.service === service).length
		const isOther = (machine: string): boolean => !this.arrivals.has(machine)
		return own + this.options.inventory.countMoving(service, ARRIVAL_TIMEOUT, isOther)
	}

	/** Uses the platform's list, because the machines in a spare pool are off and not registered. */
	private getSparePoolState(service: string, now: number): PoolState {
		const machines: { id: string; idleSince: number | undefined }[] = []
		for (const machine of this.options.inventory.all) {
			if (machine.service !== service || machine.state !== 'up') continue
			if (this.options.inventory.getBackend(machine.id)) continue
			if (this.context.evacuatedZones.has(machine.zone)) continue
			const paused = (this.pausedUntil.get(machine.id) ?? 0) > now
			const safeToOrder = this.options.orders.isSafeToOrder(machine.id)
			const reserved =
				!safeToOrder || this.options.isReserved(machine.id) || this.arrivals.has(machine.id)
			machines.push({ id: machine.id, idleSince: paused || reserved ? undefined : 0 })
		}
		const empty = {
			usableMachines: 0,
			arrivingMachines: 0,
			arrivalTime: 0,
			demandCores: 0,
			usedCores: 0,
			pendingCores: 0,
			lateCores: 0,
			lastingCores: 0,
			minimumLastingMachines: 0,
			missingLastingMachines: 0,
		}
		return { service, spare: true, machineCores: 0, machines, ...empty }
	}

	/** Returns how many machines the widest lasting step with a limit per backend server needs. */
	private getMinimumLastingMachines(service: string): number {
		const { jobs, getConfiguration } = this.context
		let minimum = 0
		for (const row of jobs.active) {
			if (getQueueRules(row.job, getConfiguration())?.service !== service) continue
			for (const { lasting, count, maximumPerBackend } of row.job.steps) {
				if (!lasting || maximumPerBackend === 0) continue
				minimum = Math.max(minimum, Math.ceil(count / maximumPerBackend))
			}
		}
		return minimum
	}

	/** Returns the cores used by tasks of jobs that can no longer finish in time. */
	private getLateCores(row: BackendRow): number {
		let cores = 0
		for (const { step, job } of row.tasks.values()) {
			if (step.lasting || step.fills || !this.options.planner.lateJobs.has(job.job.id)) continue
			cores += step.needs.cpu / MILLICORES_PER_CORE
		}
		return cores
	}

	private getIdleSince(row: BackendRow, now: number): number | undefined {
		const paused = (this.pausedUntil.get(row.machine) ?? 0) > now
		const { orders } = this.options
		const usable = row.reconciled && row.reachable && orders.isSafeToOrder(row.machine)
		if (row.tasks.size > 0 || paused || !usable || row.machine === '') return undefined
		// Its listing is the only evidence of ends that are not durable.
		if (row.hasUnreadRuns || row.lastProcessedEnd > row.lastAcknowledgedEnd) return undefined
		return this.options.isReserved(row.machine) ? undefined : row.idleSince
	}

	/** Takes the machines out of placement, records the orders for them, and sends them. */
	private async executeMoves(moves: readonly MachineMove[]): Promise<void> {
		const { timers, events } = this.context
		for (const { machine, to } of moves) {
			const backend = this.options.inventory.getBackend(machine)
			if (backend) backend.cordoned = true
			this.arrivals.set(machine, { service: to, at: timers.now() })
		}
		const machines = moves.map(({ machine }) => machine)
		const sendBy = timers.now() + MachineOrderJournal.validity
		if (await this.options.orders.record(machines)) {
			for (const move of moves) this.executeMove(move, sendBy).catch(this.context.fail)
			return
		}
		events.warn('machine-moves-dropped', { machines, reason: 'not recorded in time' })
		for (const machine of machines) this.cancelMove(machine)
	}

	/** @param sendBy - time until which the record of the order lets it be sent */
	private async executeMove(move: MachineMove, sendBy: number): Promise<void> {
		const { events } = this.context
		const backend = this.options.inventory.getBackend(move.machine)
		let result = await this.sendMove(move, sendBy)
		for (let attempt = 1; result.kind === 'unknown' && attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
			result = await this.sendMove(move, sendBy)
		}
		events.info('machine-move', { ...move, backend: backend?.id, ...result })
		if (result.kind === 'done') {
			if (backend) backend.registered = false
			this.options.inventory.recordStateChange(move.machine, { service: move.to, state: 'moving' })
			return
		}
		this.cancelMove(move.machine)
		if (result.kind === 'refused' && result.reason === 'fence') {
			this.context.endTerm(`move of ${move.machine} refused: fence`)
		}
	}

	/** Sends an order if this owner may still order machines, and order this one, when its turn comes. */
	private async sendMove(
		{ machine, to }: MachineMove,
		sendBy: number
	): Promise<MachineOrderResult> {
		const { mayOrderMachines, token, timers } = this.context
		await this.orderPace.wait()
		return this.orderLimit.run(() => {
			if (timers.now() > sendBy)
				return Promise.resolve({ kind: 'limited', detail: 'recorded too long ago' })
			if (mayOrderMachines()) return this.options.controller.move(machine, to, token)
			return Promise.resolve({ kind: 'limited', detail: 'ownership may have been lost' })
		})
	}

	private cancelMove(machine: string): void {
		this.arrivals.delete(machine)
		this.pausedUntil.set(machine, this.context.timers.now() + FAILED_MOVE_COOLDOWN)
		const backend = this.options.inventory.getBackend(machine)
		if (backend) backend.cordoned = false
	}
}

function isClosing({ draining, cordoned, evacuated }: BackendRow): boolean {
	return draining || cordoned || evacuated
}

function getLastingCores(row: BackendRow): number {
	let cores = 0
	for (const task of row.tasks.values()) {
		if (task.step.lasting && !task.step.fills) cores += task.step.needs.cpu / MILLICORES_PER_CORE
	}
	return cores
}
