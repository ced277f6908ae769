import type { BackendTable, Job, JobTable, TaskPlacement } from '@mastichead/core'
import {
	BinPackingScorer,
	DemandMeter,
	DemandPoolPolicy,
	LeastSlackPolicy,
	PlacementPlanner,
	VirtualTimerService,
	applyRunEnding,
	createTestConfiguration,
	getJobWork,
} from '@mastichead/core'
import { MachineInventory } from '../machines/MachineInventory.js'
import { PoolManager } from '../machines/PoolManager.js'
import { ArrivingMachineController } from './ArrivingMachineController.js'
import { createTestContext } from './createTestContext.js'

const SPARE_POOL = 'off'
/** Interval of the plans and of the pool manager's rounds, in milliseconds. */
const PLAN_INTERVAL = 10
const ROUND_INTERVAL = 150
/** Time before the first job, in milliseconds, so that all machines may be ordered. */
const LEAD_TIME = 5_000

/**
 * Creates the pool `desk` and a spare pool on a virtual clock, with the owner's planner and pool
 * manager but without log, orders and listings. Tasks start when they are placed; those that do not
 * last take their estimate.
 *
 * @internal
 */
export async function createTestPool(options: {
	/** Machines in the pool and in the spare pool at the start. */
	readonly machines: number
	readonly spareMachines: number
	/** Time from an order until the machine's backend server is ready, in milliseconds. */
	readonly moveTime: number
}): Promise<TestPool> {
	const timers = new VirtualTimerService()
	const configuration = {
		...createTestConfiguration(),
		services: new Set(['desk', SPARE_POOL]),
		spareServices: new Set([SPARE_POOL]),
	}
	const context = { ...createTestContext(timers), getConfiguration: () => configuration }
	const { jobs, backends } = context
	const controller = new ArrivingMachineController(timers, backends, SPARE_POOL)
	controller.moveTime = options.moveTime
	for (let number = 1; number <= options.machines + options.spareMachines; number += 1)
		controller.add(`m${number}`, number <= options.machines ? 'desk' : SPARE_POOL)
	const inventory = new MachineInventory(context, controller)
	const planner = new PlacementPlanner(
		jobs,
		backends,
		new LeastSlackPolicy(),
		new BinPackingScorer()
	)
	const demand = new DemandMeter()
	const pools = new PoolManager(context, {
		controller,
		inventory,
		orders: { record: () => Promise.resolve(true), isSafeToOrder: () => true },
		policy: new DemandPoolPolicy(),
		demand,
		planner,
		isRegistryFresh: () => true,
		isReserved: () => false,
	})
	const delays: number[] = []
	const start = ({ task }: TaskPlacement): void => {
		delays.push(timers.now() - task.job.job.acceptedAt)
		if (task.step.lasting) return
		timers.after(task.step.estimate, () => {
			applyRunEnding(task, 'done', '', 1, backends)
			if (task.job.tasks.every(({ phase }) => phase === 'done')) jobs.markFinished(task.job)
		})
	}
	const step = async (): Promise<void> => {
		timers.advance(PLAN_INTERVAL)
		const now = timers.now()
		if (now % ROUND_INTERVAL === 0) {
			await inventory.refresh()
			pools.runRound()
		}
		const placements = planner.plan(configuration, now, now, undefined, (service) =>
			pools.getArrivingMachines(service)
		)
		for (const placement of placements) start(placement)
		await new Promise((resolve) => setImmediate(resolve))
	}
	const run: TestPool['run'] = async (duration, getJobs) => {
		const startedAt = timers.now()
		while (timers.now() < startedAt + duration) {
			for (const job of getJobs(timers.now() - startedAt)) {
				demand.recordArrival('desk', getJobWork(job), timers.now())
				jobs.add({ ...job, acceptedAt: timers.now() })
			}
			await step()
		}
	}
	await run(LEAD_TIME, () => [])
	const countMoving = async (): Promise<number> =>
		(await controller.list())?.filter(({ state }) => state === 'moving').length ?? 0
	const setMoveTime = (moveTime: number): void => {
		controller.moveTime = moveTime
	}
	const countRegistered = (): number =>
		[...backends.all].filter(({ registered }) => registered).length
	return { run, delays, jobs, backends, pools, countRegistered, countMoving, setMoveTime }
}

interface TestPool {
	/**
	 * Runs for `duration` milliseconds.
	 *
	 * @param getJobs - returns the jobs that arrive at a time, in milliseconds since the start of the run
	 */
	run(duration: number, getJobs: (elapsed: number) => readonly Job[]): Promise<void>
	/** Milliseconds from acceptance to start of each task that was placed. */
	readonly delays: readonly number[]
	readonly jobs: JobTable
	readonly backends: BackendTable
	readonly pools: PoolManager
	countRegistered(): number
	/** Returns how many machines are on their way, according to the platform. */
	countMoving(): Promise<number>
	/** Sets the time from an order until the machine's backend server is ready, in milliseconds. */
	setMoveTime(moveTime: number): void
}
