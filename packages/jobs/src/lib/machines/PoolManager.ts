import type {
	ArrivingMachines,
	BackendId,
	BackendRow,
	DemandMeter,
	PlacementPlanner,
	PoolPolicy,
	PoolState,
} from '@mastichead/core'
import { getBackendAvailability, getQueueRules, hasRuns } from '@mastichead/core'
import type { OwnerContext } from '../owner/terms/OwnerContext.js'
import type { MachineController } from '../ports/MachineController.js'
import { MachineArrivals } from './MachineArrivals.js'
import type { MachineInventory } from './MachineInventory.js'
import type { MachineOrderJournal } from './MachineOrderJournal.js'
import { MoveSender } from './MoveSender.js'
import { PoolReporter } from './PoolReporter.js'

/**
 * How long a server may be out of reach or avoided until its machine no longer counts, in milliseconds.
 * Shorter than a lease, so that a machine ordered instead is there when the server's tasks have ended.
 */
const TOLERATED_SILENCE = 2_000
const MILLICORES_PER_CORE = 1_000

/**
 * Moves idle machines between pools according to the policy.
 *
 * @public
 */
export class PoolManager {
	private readonly arrivals: MachineArrivals
	private readonly sender: MoveSender
	private readonly reporter: PoolReporter
	/** Time since which each server that is out of reach or avoided has been so. */
	private silentSince: ReadonlyMap<BackendId, number> = new Map()
	private poolStates: readonly PoolState[] = []

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
		this.arrivals = new MachineArrivals(options.inventory)
		this.sender = new MoveSender(context, { ...options, arrivals: this.arrivals })
		this.reporter = new PoolReporter(context, options.policy)
	}

	/** Whether machines are on their way to a pool. */
	get isAwaitingMachines(): boolean {
		return this.arrivals.size > 0
	}

	/** Plans the moves of one round and sends the orders. */
	runRound(): void {
		const now = this.context.timers.now()
		this.arrivals.removeEnded(now)
		this.updateSilences(now)
		this.poolStates = this.getPoolStates(now)
		this.reporter.report(this.poolStates, now)
		if (!this.options.isRegistryFresh() || !this.context.mayOrderMachines()) return
		const moves = this.options.policy.plan(this.poolStates, now)
		for (const pool of this.poolStates) this.reporter.reportRestraint(pool)
		// Moves beyond the platform's rate are planned again in the next round.
		const sendable = moves.slice(0, this.sender.countSendable())
		if (sendable.length > 0) this.sender.send(sendable).catch(this.context.fail)
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
		return this.arrivals.getArriving(service, this.context.timers.now())
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
			if (hasRuns(row)) row.idleSince = now
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
			arrivingMachines: this.arrivals.count(service),
			arrivalTime: this.arrivals.averageTime,
			demandCores: this.options.demand.getCores(service, now),
			usedCores: Math.max(0, usedCores - lastingCores - lateCores),
			pendingCores: backlog.get(service) ?? 0,
			lateCores: lateCores + (lateBacklog.get(service) ?? 0),
			lastingCores,
			minimumLastingMachines: this.getMinimumLastingMachines(service),
			missingLastingMachines: missingMachines.get(service) ?? 0,
		}
	}

	/** Uses the platform's list, because the machines in a spare pool are off and not registered. */
	private getSparePoolState(service: string, now: number): PoolState {
		const machines: { id: string; idleSince: number | undefined }[] = []
		for (const machine of this.options.inventory.all) {
			if (machine.service !== service || machine.state !== 'up') continue
			if (this.options.inventory.getBackend(machine.id)) continue
			if (this.context.evacuatedZones.has(machine.zone)) continue
			const paused = this.sender.isPaused(machine.id, now)
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
		const paused = this.sender.isPaused(row.machine, now)
		const { orders } = this.options
		const usable = row.reconciled && row.reachable && orders.isSafeToOrder(row.machine)
		if (hasRuns(row) || paused || !usable || row.machine === '') return undefined
		// Its listing is the only evidence of ends that are not durable.
		if (row.listsUnreadRuns || row.lastProcessedEnd > row.lastAcknowledgedEnd) return undefined
		return this.options.isReserved(row.machine) ? undefined : row.idleSince
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
