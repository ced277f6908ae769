import type {
	BackendRow,
	DemandMeter,
	MachineMove,
	PlacementPlanner,
	PoolPolicy,
	PoolState,
} from '@mastichead/core'
import type { OwnerContext } from '../owner/OwnerContext.js'
import type { MachineController } from '../ports/MachineController.js'
import type { MachineInventory } from './MachineInventory.js'

/** A machine that has not registered this long after its move is no longer expected. */
const ARRIVAL_TIMEOUT = 4_000
/** Pause before a machine is ordered again whose move was refused, in milliseconds. */
const REFUSAL_COOLDOWN = 2_000
/** Tries of one order that gets no answer. */
const MAXIMUM_ATTEMPTS = 3
const MILLICORES = 1_000
/** Time between two log lines on what the pools have and want, in milliseconds. */
const LOG_INTERVAL = 1_000

/**
 * Moves machines between pools as the policy decides. Only machines on which nothing runs are
 * moved.
 *
 * @public
 */
export class PoolManager {
	/** Machines on their way, with the pool and the instant of the order. */
	private readonly arrivals = new Map<string, { readonly service: string; readonly at: number }>()
	private readonly pausedUntil = new Map<string, number>()
	private situations: readonly PoolState[] = []
	private loggedAt = -Infinity

	constructor(
		private readonly context: OwnerContext,
		private readonly options: {
			readonly controller: MachineController
			readonly inventory: MachineInventory
			readonly policy: PoolPolicy
			readonly demand: DemandMeter
			/** What the latest plan found no room for, and which jobs cannot be in time any more. */
			readonly planner: Pick<PlacementPlanner, 'backlog' | 'lateBacklog' | 'lateJobs'>
			/** Whether a machine that joins a pool would be seen. */
			readonly isRegistryFresh: () => boolean
			/** Machines that a wave is emptying or has taken down. */
			readonly isReserved: (machine: string) => boolean
		}
	) {}

	/** Plans once and sends the orders. */
	run(): void {
		const now = this.context.timers.now()
		this.removeEndedArrivals(now)
		this.situations = this.getSituations(now)
		this.logPools(now)
		if (!this.options.isRegistryFresh() || !this.context.mayAct()) return
		for (const move of this.options.policy.plan(this.situations, now)) void this.executeMove(move)
	}

	private logPools(now: number): void {
		if (now - this.loggedAt < LOG_INTERVAL) return
		this.loggedAt = now
		const pools: Record<string, string> = {}
		for (const pool of this.situations) {
			const {
				service,
				machines,
				arrivingMachines: arriving,
				demandCores: demand,
				usedCores: use,
				pendingCores: waiting,
				lastingCores: lasting,
				lateCores: late,
			} = pool
			const wanted = this.options.policy.getTargetSize(pool)
			const cores = [demand, use, waiting, lasting, late].map((value) => value.toFixed(0)).join('/')
			pools[service] = `${machines.length}+${arriving} of ${wanted}, cores ${cores}`
		}
		this.context.events.info('pools-seen', pools)
	}

	/** Whether the machine was moved and has not registered yet. */
	isArriving(machine: string): boolean {
		return this.arrivals.has(machine)
	}

	/** Machines that a pool can do without now; negative if it is short of some. */
	getSlack(service: string): number {
		const pool = this.situations.find((candidate) => candidate.service === service)
		return pool ? pool.machines.length - this.options.policy.getTargetSize(pool) : 0
	}

	/** Machines of a service's pool that late work may use; undefined for all. */
	getLateMachines(service: string): number | undefined {
		const pool = this.situations.find((candidate) => candidate.service === service)
		return pool && this.options.policy.getLateMachineLimit(pool)
	}

	private removeEndedArrivals(now: number): void {
		for (const [machine, { service, at }] of this.arrivals) {
			const backend = this.options.inventory.getBackend(machine)
			const arrived = backend?.service === service && backend.reconciled
			if (arrived || now - at > ARRIVAL_TIMEOUT) this.arrivals.delete(machine)
		}
	}

	private getSituations(now: number): PoolState[] {
		const configuration = this.context.getConfiguration()
		const situations: PoolState[] = []
		for (const service of configuration.services) {
			const spare = configuration.spareServices.has(service)
			situations.push(
				spare ? this.getSparePoolSituation(service, now) : this.getPoolSituation(service, now)
			)
		}
		return situations
	}

	private getPoolSituation(service: string, now: number): PoolState {
		const machines: { id: string; idleSince: number | undefined }[] = []
		const machineCores = this.options.inventory.getMedianCores()
		const { backlog, lateBacklog } = this.options.planner
		let lasting = 0
		let used = 0
		let late = 0
		for (const row of this.context.backends.all) {
			if (row.tasks.size > 0) row.idleSince = now
			if (row.service === service) {
				used += row.used.cpu / MILLICORES
				late += this.getLateCores(row)
			}
			if (row.service !== service || !row.registered || row.draining || row.cordoned) continue
			lasting += getLastingCores(row)
			machines.push({ id: row.machine, idleSince: this.getIdleSince(row, now) })
		}
		const arriving = [...this.arrivals.values()].filter((entry) => entry.service === service)
		return {
			service,
			spare: false,
			machineCores,
			machines,
			arrivingMachines: arriving.length,
			demandCores: this.options.demand.getCores(service, now),
			usedCores: Math.max(0, used - lasting - late),
			pendingCores: backlog.get(service) ?? 0,
			lateCores: late + (lateBacklog.get(service) ?? 0),
			lastingCores: lasting,
			minimumLastingMachines: this.getSpread(service),
		}
	}

	/** The spare pool: its machines are off, so only the platform's list tells of them. */
	private getSparePoolSituation(service: string, now: number): PoolState {
		const machines: { id: string; idleSince: number | undefined }[] = []
		for (const machine of this.options.inventory.all) {
			if (machine.service !== service || machine.state !== 'up') continue
			if (this.options.inventory.getBackend(machine.id)) continue
			const paused = (this.pausedUntil.get(machine.id) ?? 0) > now
			const settled = this.options.inventory.isSafeToOrder(machine.id)
			const reserved =
				!settled || this.options.isReserved(machine.id) || this.arrivals.has(machine.id)
			machines.push({ id: machine.id, idleSince: paused || reserved ? undefined : 0 })
		}
		const empty = {
			arrivingMachines: 0,
			demandCores: 0,
			usedCores: 0,
			pendingCores: 0,
			lateCores: 0,
			lastingCores: 0,
			minimumLastingMachines: 0,
		}
		return { service, spare: true, machineCores: 0, machines, ...empty }
	}

	/** Machines that the widest lasting step needs, since it bounds its tasks on each. */
	private getSpread(service: string): number {
		const { jobs, getConfiguration } = this.context
		let spread = 0
		for (const row of jobs.active) {
			if (getConfiguration().queues.get(row.job.queue)?.service !== service) continue
			for (const { lasting, count, maximumPerBackend } of row.job.steps) {
				if (!lasting || maximumPerBackend === 0) continue
				spread = Math.max(spread, Math.ceil(count / maximumPerBackend))
			}
		}
		return spread
	}

	/** Cores in use by tasks of jobs that cannot be in time any more. */
	private getLateCores(row: BackendRow): number {
		let cores = 0
		for (const { step, job } of row.tasks.values()) {
			if (step.lasting || step.fills || !this.options.planner.lateJobs.has(job.job.id)) continue
			cores += step.needs.cpu / MILLICORES
		}
		return cores
	}

	private getIdleSince(row: BackendRow, now: number): number | undefined {
		const paused = (this.pausedUntil.get(row.machine) ?? 0) > now
		const { inventory } = this.options
		const usable = row.reconciled && row.reachable && inventory.isSafeToOrder(row.machine)
		if (row.tasks.size > 0 || paused || !usable || row.machine === '') return undefined
		return this.options.isReserved(row.machine) ? undefined : row.idleSince
	}

	private async executeMove(move: MachineMove): Promise<void> {
		const { timers, events, token } = this.context
		const backend = this.options.inventory.getBackend(move.machine)
		if (backend) backend.cordoned = true
		this.arrivals.set(move.machine, { service: move.to, at: timers.now() })
		let result = await this.options.controller.move(move.machine, move.to, token)
		for (let tries = 1; result.kind === 'unknown' && tries < MAXIMUM_ATTEMPTS; tries += 1) {
			result = await this.options.controller.move(move.machine, move.to, token)
		}
		events.info('machine-move', { ...move, backend: backend?.id, ...result })
		if (result.kind === 'done') {
			if (backend) backend.registered = false
			this.options.inventory.recordStateChange(move.machine, { service: move.to, state: 'moving' })
			return
		}
		this.arrivals.delete(move.machine)
		this.pausedUntil.set(move.machine, timers.now() + REFUSAL_COOLDOWN)
		if (backend) backend.cordoned = false
		if (result.kind === 'refused' && result.reason === 'fence') {
			this.context.endTerm(`move of ${move.machine} refused: fence`)
		}
	}
}

function getLastingCores(row: BackendRow): number {
	let cores = 0
	for (const task of row.tasks.values()) {
		if (task.step.lasting && !task.step.fills) cores += task.step.needs.cpu / MILLICORES
	}
	return cores
}
