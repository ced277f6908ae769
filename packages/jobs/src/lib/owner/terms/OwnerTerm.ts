import type { BackendRow, JobId, StepExplanation } from '@mastichead/core'
import {
	BackendTable,
	JobTable,
	PlacementPlanner,
	LeastSlackPolicy,
	DrainingScorer,
	LearnedRunTimes,
	getJobWork,
	getQueueRules,
	DemandMeter,
	explainJob,
	recordEarlierArrivals,
} from '@mastichead/core'
import { formatError } from '../../logs/formatError.js'
import type { ReplicaRow } from '../../log/ReplicaRow.js'
import { MachineManager } from '../../machines/MachineManager.js'
import { WaveReporter } from '../../machines/WaveReporter.js'
import { BackendRegistry } from '../monitoring/BackendRegistry.js'
import { BackendRetention } from '../recovery/BackendRetention.js'
import { CrashTracker } from '../monitoring/CrashTracker.js'
import { EarlierTerms } from './EarlierTerms.js'
import { HealthManager } from '../monitoring/HealthManager.js'
import { LeaseLedger } from '../leases/LeaseLedger.js'
import { LeaseTiming } from '../leases/LeaseTiming.js'
import { MonitorTable } from '../monitoring/MonitorTable.js'
import { OrderDispatcher } from '../monitoring/OrderDispatcher.js'
import type { OwnerContext } from './OwnerContext.js'
import type { OwnerTermOptions } from './OwnerTermOptions.js'
import { PlanningLoop } from './PlanningLoop.js'
import { ProgressWriter } from './ProgressWriter.js'
import { JobRetention } from '../recovery/JobRetention.js'
import { TermRecords } from './TermRecords.js'
import { TermRecovery } from '../recovery/TermRecovery.js'
import { UnreadRuns } from '../recovery/UnreadRuns.js'
import { TaskUpdater } from '../monitoring/TaskUpdater.js'
import { WaitingTaskReporter } from './WaitingTaskReporter.js'

/** Interval at which expired jobs and departed backend servers are removed, in milliseconds. */
const RETENTION_INTERVAL = 10_000
/**
 * Time after which the record of a server no longer names a process that has ended, in milliseconds, so that
 * the ends of its runs are in the log before.
 */
const PROCESS_RECORD_DELAY = 1_000
/**
 * One term of ownership, from raising the fence in the log until ownership is lost. Tracks all runs,
 * places pending tasks, and records every decision in the log before it acts on it.
 *
 * @public
 */
export class OwnerTerm {
	private readonly context: OwnerContext
	private readonly writer: ProgressWriter
	private readonly dispatcher: OrderDispatcher
	private readonly taskUpdater: TaskUpdater
	private readonly planner: PlacementPlanner
	private readonly planning: PlanningLoop
	private readonly records: TermRecords
	private readonly waitingTasks: WaitingTaskReporter
	private readonly registry: BackendRegistry
	private readonly health: HealthManager
	private readonly machines: MachineManager
	private readonly jobRetention: JobRetention
	private readonly backendRetention: BackendRetention
	private readonly recovery: TermRecovery
	private readonly unreadRuns: UnreadRuns
	private readonly demand = new DemandMeter()
	private readonly runTimes = new LearnedRunTimes()
	private readonly leases: LeaseLedger
	private readonly crashes: CrashTracker
	private readonly earlierTerms: EarlierTerms
	private readonly monitors: MonitorTable
	private readonly subscriptions: { cancel(): void }[] = []
	private started = false
	private ended = false

	constructor(private readonly options: OwnerTermOptions) {
		const { token, backendClient, timers, events, metrics, getWallTime, getConfiguration } = options
		const jobs = new JobTable()
		const backends = new BackendTable()
		const endTerm = (reason: string): void => {
			this.abort(reason)
		}
		this.context = {
			jobs,
			backends,
			backendClient,
			timers,
			events,
			metrics,
			token,
			getWallTime,
			getConfiguration,
			evacuatedZones: options.evacuatedZones,
			mayAct: () => this.mayAct(),
			mayOrderMachines: () => this.mayAct() && options.isMember(),
			endTerm,
			fail: (error) => {
				this.fail(error)
			},
		}
		const replan = (): void => {
			this.planning.schedule()
		}
		this.health = new HealthManager(this.context)
		this.writer = new ProgressWriter(this.context, options.log, options.progress)
		this.leases = new LeaseLedger(this.context, this.writer, options.replica)
		this.earlierTerms = new EarlierTerms(this.context, {
			terms: options.replica.terms,
			progress: options.progress,
			writer: this.writer,
		})
		this.dispatcher = new OrderDispatcher(
			this.context,
			this.leases,
			() => this.taskUpdater,
			(backend) => {
				this.monitors.requestListing(backend.id)
			},
			(backend, reason) => {
				this.health.recordOrderFailure(backend, reason)
			},
			(backend) => {
				this.health.recordOrderSuccess(backend)
			}
		)
		this.taskUpdater = new TaskUpdater(
			this.context,
			this.writer,
			(task) => {
				this.dispatcher.stopTask(task).catch(this.context.fail)
			},
			replan,
			this.health,
			this.runTimes
		)
		this.planner = new PlacementPlanner(
			jobs,
			backends,
			new LeastSlackPolicy(this.runTimes),
			new DrainingScorer(),
			this.runTimes
		)
		this.registry = new BackendRegistry(this.context, {
			log: options.log,
			format: options.format,
			onChange: (row) => {
				this.handleBackendChange(row)
			},
			isAwaitingBackends: () => this.machines.isAwaitingMachines,
		})
		this.records = new TermRecords(this.context, {
			instance: options.instance,
			writer: this.writer,
			getRegistration: (id) => this.registry.get(id),
			getRecorded: (id) => options.replica.backends.get(id),
		})
		this.crashes = new CrashTracker(this.context, {
			getMachineOrder: (machine) => options.replica.machineOrders.get(machine),
			onProcessEnd: (id) => {
				this.records.recordBackend(id, PROCESS_RECORD_DELAY)
			},
			updateJob: (job) => {
				this.taskUpdater.updateJob(job)
			},
		})
		this.unreadRuns = new UnreadRuns(this.context, this.leases, replan)
		this.recovery = new TermRecovery(this.context, {
			log: options.log,
			progress: options.progress,
			taskUpdater: this.taskUpdater,
			leases: this.leases,
			crashes: this.crashes,
			unreadRuns: this.unreadRuns,
			onInherited: (row) => {
				if (!this.started) return
				this.watchBackend(row)
				// Until then the runs count as unexpected as well.
				this.monitors.requestListing(row.id)
			},
			isEnded: () => this.ended,
		})
		this.monitors = new MonitorTable(this.context, {
			taskUpdater: this.taskUpdater,
			dispatcher: this.dispatcher,
			writer: this.writer,
			leases: this.leases,
			crashes: this.crashes,
			unreadRuns: this.unreadRuns,
			replan,
			isIntakeRead: () => options.intake.every((follower) => this.recovery.isRead(follower)),
		})
		this.waitingTasks = new WaitingTaskReporter(
			this.context,
			(service) => this.machines.getPool(service),
			(row) => this.leases.getExpiry(row),
			() => this.writer.appendDelay
		)
		this.planning = new PlanningLoop(this.context, {
			planner: this.planner,
			writer: this.writer,
			taskUpdater: this.taskUpdater,
			dispatcher: this.dispatcher,
			getMachineLimit: (service, isLate) => this.machines.getMachineLimit(service, isLate),
			getArrivingMachines: (service) => this.machines.getArrivingMachines(service),
			wakeUpMonitor: (id) => {
				this.monitors.wakeUp(id)
			},
		})
		this.jobRetention = new JobRetention(this.context, {
			log: options.log,
			writer: this.writer,
			replica: options.replica,
			intake: options.intake,
			getRetentionTime: options.getStatusRetention,
		})
		this.backendRetention = new BackendRetention(this.context, {
			registry: this.registry,
			replica: options.replica,
			records: this.records,
			monitors: this.monitors,
			health: this.health,
			crashes: this.crashes,
			leases: this.leases,
		})
		const waveReporter = new WaveReporter(options)
		this.machines = new MachineManager(this.context, {
			controller: options.machineController,
			taskUpdater: this.taskUpdater,
			writer: this.writer,
			demand: this.demand,
			stopTask: (task) => {
				this.dispatcher.stopTask(task).catch(this.context.fail)
			},
			isRegistryFresh: () => this.registry.isFresh(),
			planner: this.planner,
			getWaves: options.getWaves,
			reportWave: (key, state) => waveReporter.report(key, state),
			getWaveProgress: (key) => options.replica.waveProgress.get(key),
			getMachineOrder: (machine) => options.replica.machineOrders.get(machine),
			recordsMachineOrders: options.replica.recordsMachineOrders,
			ordersPerSecond: options.machineOrdersPerSecond,
		})
	}

	/** Fencing token of the term. */
	get token(): number {
		return this.options.token
	}

	/** Starts the term. An unexpected error ends it. */
	start(): void {
		this.begin().catch(this.context.fail)
	}

	/** Raises the fence, reads the decisions of earlier owners, and starts planning. */
	private async begin(): Promise<void> {
		const { token, intake, progress, replica, timers, events } = this.options
		if (!(await this.recovery.readEarlierTerms())) return
		this.leases.begin()
		this.crashes.begin(replica.backends.values())
		const termRecorded = this.records.begin()
		this.registry.preload(replica.backends.values())
		await this.recovery.readStreams([...intake, this.registry.follower])
		await termRecorded
		if (this.ended) return
		progress.pause()
		this.subscriptions.push(
			replica.subscribe((row) => {
				this.handleJobChange(row)
			})
		)
		this.subscriptions.push(
			this.options.subscribeEvacuations(() => {
				this.registry.updateEvacuations()
				this.planning.schedule()
			})
		)
		this.registry.updateEvacuations()
		if (!(await this.recovery.restoreJobs(replica.all))) return
		this.restoreDemand()
		this.subscriptions.push(
			timers.every(RETENTION_INTERVAL, () => {
				this.backendRetention.dropDeparted()
				// Others have written to the stream if an end of a term was recorded more than once.
				progress.readToEnd().catch(this.context.fail)
				this.jobRetention.dropExpired().catch(this.context.fail)
			})
		)
		this.started = true
		this.planning.start()
		this.waitingTasks.start()
		this.registry.follower.start()
		for (const follower of intake) follower.wakeUp()
		this.earlierTerms.start()
		for (const row of this.context.backends.all) {
			this.monitors.start(row)
			if (!replica.backends.has(row.id)) this.records.recordBackend(row.id)
		}
		// Those that left before the start of this term are no longer in the registry.
		for (const id of replica.backends.keys())
			if (!this.registry.get(id)) this.records.recordBackend(id)
		const jobs = this.context.jobs.active.size
		const report = { ...this.recovery.getReport(), ...this.unreadRuns.getReport() }
		events.info('owner-begun', { token, jobs, ...report })
		this.machines.start()
	}

	/** Explains the state of a job's steps. Returns undefined if this term does not know the job. */
	explain(id: JobId): StepExplanation[] | undefined {
		const { jobs, backends, timers, getWallTime, getConfiguration } = this.context
		const row = jobs.get(id)
		if (!row) return undefined
		const [now, wallTime] = [timers.now(), getWallTime()]
		return explainJob(row, { backends, configuration: getConfiguration(), now, wallTime })
	}

	/** Ends the term. Nothing is sent afterwards. */
	end(): void {
		if (this.ended) return
		this.ended = true
		this.dispatcher.stop()
		this.writer.stop()
		this.records.stop()
		this.planning.stop()
		this.waitingTasks.stop()
		this.registry.follower.stop()
		this.machines.stop()
		this.monitors.stop()
		this.earlierTerms.stop()
		for (const subscription of this.subscriptions) subscription.cancel()
		this.options.progress.resume()
	}

	private mayAct(): boolean {
		if (this.ended) return false
		const isLogSilent = this.writer.silence >= LeaseTiming.maximumOwnerSilence
		if (this.options.isCurrent() && !isLogSilent) return true
		this.abort('no answer from the log for too long')
		return false
	}

	private fail(error: unknown): void {
		this.context.metrics.count('unexpected_errors', 'term')
		this.context.events.error('owner-failed', { error: formatError(error) })
		this.abort('unexpected error')
	}

	/** Ends the term and reports the reason. */
	private abort(reason: string): void {
		if (this.ended) return
		this.end()
		this.options.onEnd(reason)
	}

	private handleJobChange(replicaRow: ReplicaRow): void {
		const { job, cancelled } = replicaRow
		if (!job) return
		const { jobs, timers, getConfiguration } = this.context
		const existing = jobs.get(job.id)
		if (!existing) {
			const service = getQueueRules(job, getConfiguration())?.service
			if (service !== undefined && this.started)
				this.demand.recordArrival(service, getJobWork(job, this.runTimes), timers.now())
			this.recovery.restoreJob(replicaRow)
		} else if (cancelled) {
			this.taskUpdater.cancelJob(existing)
		}
		this.planning.schedule()
	}

	private handleBackendChange(row: BackendRow): void {
		if (!this.started) return
		this.leases.handleRegistration(row, this.registry.get(row.id)?.incarnation)
		this.watchBackend(row)
		this.planning.schedule()
	}

	/** Records a server that has changed or got tasks, and makes its monitor look at it now. */
	private watchBackend(row: BackendRow): void {
		this.records.recordBackend(row.id)
		this.monitors.start(row)
		this.monitors.wakeUp(row.id)
	}

	private restoreDemand(): void {
		const { timers, getWallTime, getConfiguration } = this.context
		const jobs = [...this.options.replica.all].flatMap(({ job }) => job ?? [])
		recordEarlierArrivals(this.demand, jobs, getConfiguration(), timers.now(), getWallTime())
	}
}
