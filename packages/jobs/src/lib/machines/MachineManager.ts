import type {
	ArrivingMachines,
	DemandMeter,
	PlacementPlanner,
	PoolState,
	TaskRow,
} from '@mastichead/core'
import { DemandPoolPolicy } from '@mastichead/core'
import type { OwnerContext } from '../owner/terms/OwnerContext.js'
import type { ProgressWriter } from '../owner/terms/ProgressWriter.js'
import type { TaskUpdater } from '../owner/monitoring/TaskUpdater.js'
import type { MachineController } from '../ports/MachineController.js'
import type { MaintenanceWave } from '../ports/MaintenanceWave.js'
import { Evacuator } from './Evacuator.js'
import { MachineInventory } from './MachineInventory.js'
import type { MachineOrder } from './MachineOrder.js'
import { MachineOrderJournal } from './MachineOrderJournal.js'
import { PoolManager } from './PoolManager.js'
import { WaveManager } from './WaveManager.js'
import type { WaveProgress } from './WaveProgress.js'

/** Delay between two rounds, in milliseconds. */
const ROUND_INTERVAL = 150
/**
 * Time from the start of a term in which no lasting task is interrupted, in milliseconds. Until then a
 * task that an earlier owner has stopped may still run, and so seem available.
 */
const SETTLING_TIME = 2_500

/**
 * Manages machines for the owner: maintenance waves, moves between pools, and evacuation.
 *
 * @public
 */
export class MachineManager {
	private readonly inventory: MachineInventory
	private readonly waves: WaveManager
	private readonly pools: PoolManager
	private readonly evacuator: Evacuator
	private stopped = false
	private isAdvancingWaves = false
	private readonly termStartedAt: number

	constructor(
		private readonly context: OwnerContext,
		options: {
			readonly controller: MachineController
			readonly taskUpdater: TaskUpdater
			readonly writer: ProgressWriter
			readonly demand: DemandMeter
			readonly stopTask: (task: TaskRow) => void
			readonly isRegistryFresh: () => boolean
			readonly planner: PlacementPlanner
			readonly getWaves: () => ReadonlyMap<string, MaintenanceWave>
			readonly reportWave: (key: string, state: 'running' | 'completed') => Promise<boolean>
			readonly getWaveProgress: (key: string) => WaveProgress | undefined
			/** Returns the latest recorded order for a machine. */
			readonly getMachineOrder: (machine: string) => MachineOrder | undefined
			/** Whether earlier owners are known to have recorded their orders. */
			readonly recordsMachineOrders: boolean
			/** Orders for machines that the platform accepts in a second; undefined for no limit. */
			readonly ordersPerSecond: number | undefined
		}
	) {
		const {
			controller,
			taskUpdater,
			writer,
			getWaves,
			reportWave,
			getWaveProgress,
			demand,
			planner,
		} = options
		this.termStartedAt = context.timers.now()
		this.inventory = new MachineInventory(context, controller)
		const orders = new MachineOrderJournal(
			context,
			writer,
			options.getMachineOrder,
			options.recordsMachineOrders
		)
		this.evacuator = new Evacuator(context, options.stopTask)
		this.waves = new WaveManager(context, {
			controller,
			taskUpdater,
			writer,
			inventory: this.inventory,
			orders,
			isArriving: (machine) => this.pools.isArriving(machine),
			getSlack: (service) => this.pools.getSlack(service),
			getWaves,
			reportWave,
			getWaveProgress,
		})
		this.pools = new PoolManager(context, {
			controller,
			inventory: this.inventory,
			orders,
			policy: new DemandPoolPolicy(),
			demand,
			planner,
			isRegistryFresh: options.isRegistryFresh,
			isReserved: (machine) => this.waves.isReserved(machine),
			ordersPerSecond: options.ordersPerSecond,
		})
	}

	/** Returns the pool of a service as the latest round saw it. */
	getPool(service: string): PoolState | undefined {
		return this.pools.getPool(service)
	}

	/** Whether machines are on their way to a pool. */
	get isAwaitingMachines(): boolean {
		return this.pools.isAwaitingMachines
	}

	/** Returns how many machines of a service's pool short tasks may use; undefined for all. */
	getMachineLimit(service: string, isLate: boolean): number | undefined {
		return this.pools.getMachineLimit(service, isLate)
	}

	/** Returns the machines that are on their way to a service's pool. */
	getArrivingMachines(service: string): ArrivingMachines {
		return this.pools.getArrivingMachines(service)
	}

	start(): void {
		this.run().catch(this.context.fail)
	}

	stop(): void {
		this.stopped = true
		this.waves.stop()
	}

	private async run(): Promise<void> {
		while (!this.isStopped()) {
			const listed = await this.inventory.refresh()
			if (this.isStopped()) return
			const settled = this.context.timers.now() - this.termStartedAt >= SETTLING_TIME
			if (settled) this.evacuator.evacuate()
			if (listed) this.pools.runRound()
			if (listed) this.advanceWaves(settled)
			await this.sleep(ROUND_INTERVAL)
		}
	}

	/** Advances the waves beside the rounds, unless an earlier call is still waiting for answers. */
	private advanceWaves(mayInterruptTasks: boolean): void {
		if (this.isAdvancingWaves) return
		this.isAdvancingWaves = true
		const advance = this.waves.advanceWaves(mayInterruptTasks).finally(() => {
			this.isAdvancingWaves = false
		})
		advance.catch(this.context.fail)
	}

	private isStopped(): boolean {
		return this.stopped
	}

	private sleep(duration: number): Promise<void> {
		return new Promise((resolve) => {
			this.context.timers.after(duration, resolve)
		})
	}
}
