import type { TimerService, JobId, JobReport } from '@mastichead/core'
import { ConcurrencyLimit } from './ConcurrencyLimit.js'
import { IntakeWriter } from './callers/IntakeWriter.js'
import { JobIntake } from './callers/JobIntake.js'
import { ConfigurationManager } from './configuration/ConfigurationManager.js'
import { JobReplica } from './log/JobReplica.js'
import { StreamFollower } from './log/StreamFollower.js'
import { intakeStreams } from './ports/intakeStreams.js'
import type { IntakeStream } from './ports/IntakeStream.js'
import type { EventLog } from './logs/EventLog.js'
import type { JobMetrics } from './metrics/JobMetrics.js'
import { OwnerTerm } from './owner/terms/OwnerTerm.js'
import { Ownership } from './owner/terms/Ownership.js'
import { TermReporter } from './owner/terms/TermReporter.js'
import type { BackendServerClient } from './ports/BackendServerClient.js'
import type { MachineController } from './ports/MachineController.js'
import type { MetadataLog } from './ports/MetadataLog.js'
import type { OperatorFormat } from './ports/OperatorFormat.js'

/** How long a read of an intake stream waits for a record, in milliseconds. */
const MAXIMUM_INTAKE_WAIT = 2_000
/** Delay between two reads of an intake stream, on the owner and on others, in milliseconds. */
const OWNER_INTAKE_POLL_DELAY = 10
const INTAKE_POLL_DELAY = 1_500
/** How long a read of the progress stream waits for a record, in milliseconds. */
const MAXIMUM_PROGRESS_WAIT = 1_000
/** Delay between two reads of the progress stream, in milliseconds. */
const PROGRESS_POLL_DELAY = 120
/** Maximum number of reads at a time by which an instance loads jobs and their progress. */
const MAXIMUM_CONCURRENT_LOADS = 1
/** An instance without an answer from the log for this long is not ready, in milliseconds. */
const MAXIMUM_LOG_SILENCE = 2_500
/** An instance whose reads of the log have failed for this long is not ready, in milliseconds. */
const MAXIMUM_FAILURE_TIME = 400

/**
 * The job daemon of one instance: accepts jobs from callers, and schedules them while the instance
 * is the owner.
 *
 * @public
 */
export class JobDaemon {
	readonly configuration: ConfigurationManager
	readonly intake: JobIntake
	private readonly replica: JobReplica
	private readonly loadLimit = new ConcurrencyLimit(MAXIMUM_CONCURRENT_LOADS)
	private readonly intakeFollowers: ReadonlyMap<IntakeStream, StreamFollower>
	private readonly progressFollower: StreamFollower
	private readonly ownership: Ownership
	private readonly termReporter: TermReporter
	/** Monotonic instant of the start. */
	private readonly startedAt: number
	private term: OwnerTerm | undefined
	private stopping = false

	constructor(
		private readonly options: {
			/**
			 * Name of this process in the group of instances. Each start of an instance needs another one:
			 * under the same name it could become the owner under the fencing token of the process before.
			 */
			readonly member: string
			/** Name of this instance; the same for each of its processes, of which one runs at a time. */
			readonly instance: string
			/** Whether the owner should be this instance rather than one that is not preferred. */
			readonly isPreferredOwner: boolean
			readonly log: MetadataLog
			readonly backendClient: BackendServerClient
			readonly format: OperatorFormat
			readonly machineController: MachineController
			/** Orders for machines that the platform accepts in a second; no limit by default. */
			readonly machineOrdersPerSecond?: number | undefined
			readonly timers: TimerService
			readonly events: EventLog
			readonly metrics: JobMetrics
			readonly getWallTime: () => number
			/** Returns for how many milliseconds the state of an ended job is kept. */
			readonly getStatusRetention: () => number
		}
	) {
		const { log, timers, events, metrics, format, member, getWallTime } = options
		this.startedAt = timers.now()
		this.replica = new JobReplica(events, timers)
		this.termReporter = new TermReporter({
			instance: options.instance,
			terms: this.replica.terms,
			log,
			timers,
			events,
		})
		this.configuration = new ConfigurationManager({ log, timers, events, format })
		this.intakeFollowers = new Map(
			intakeStreams.map((stream) => [stream, this.createIntakeFollower(stream)])
		)
		this.progressFollower = new StreamFollower(
			'progress',
			log,
			timers,
			events,
			(entry) => {
				this.replica.applyProgress(entry)
			},
			{
				maximumWait: MAXIMUM_PROGRESS_WAIT,
				getPollDelay: () => PROGRESS_POLL_DELAY,
				loadLimit: this.loadLimit,
				onLoaded: () => {
					this.handleProgressLoaded()
				},
			}
		)
		const writer = new IntakeWriter(log, timers, events, this.intakeFollowers, member)
		this.intake = new JobIntake({
			replica: this.replica,
			writer,
			intake: [...this.intakeFollowers.values()],
			progress: this.progressFollower,
			events,
			metrics,
			timers,
		})
		this.ownership = new Ownership({
			member,
			log,
			timers,
			events,
			getWallTime,
			isPreferred: this.options.isPreferredOwner,
			getOwnerSilence: () => this.getOwnerSilence(),
			isReady: () =>
				this.configuration.current !== undefined &&
				this.configuration.isComplete &&
				this.progressFollower.loaded,
			onAcquire: (token) => {
				this.beginTerm(token)
			},
			onLose: () => {
				this.endTerm()
			},
		})
		metrics.addGauge('owner', () => (this.ownership.isOwner ? 1 : 0))
		metrics.addGauge('configuration_version', () => this.configuration.current?.version ?? 0)
	}

	start(): void {
		this.configuration.follower.start()
		// The progress comes first: it decides about ends of jobs, and the owner needs it.
		this.progressFollower.start()
		for (const follower of this.intakeFollowers.values()) follower.start()
		this.ownership.start()
	}

	/** Whether this instance owns the jobs: it places, starts and recovers their tasks. */
	get isOwner(): boolean {
		return this.ownership.isOwner
	}

	/** Whether the instance can serve callers; the load balancer checks this. */
	isReady(): boolean {
		if (this.stopping || !this.configuration.current) return false
		const { lastContactAt, unavailableSince } = this.configuration.follower
		const now = this.options.timers.now()
		if (now - (lastContactAt ?? -Infinity) >= MAXIMUM_LOG_SILENCE) return false
		if (now - (unavailableSince ?? now) >= MAXIMUM_FAILURE_TIME) return false
		return this.progressFollower.loaded && this.isIntakeLoaded
	}

	/** Whether no stream of submissions is still being loaded; one that does not answer is not waited for. */
	private get isIntakeLoaded(): boolean {
		return [...this.intakeFollowers.values()].every(({ loaded, available }) => loaded || !available)
	}

	/** Returns what this instance knows about a job, for operators. */
	explain(id: JobId): JobReport {
		const job = this.replica.get(id)?.job
		const { timers, getWallTime } = this.options
		const { lastContactAt } = this.configuration.follower
		return {
			job: id,
			state: this.replica.getState(id),
			queue: job?.queue ?? '',
			team: job?.team ?? '',
			age: job ? getWallTime() - job.acceptedAt : 0,
			configuration: this.configuration.current?.version ?? 0,
			logSilence: lastContactAt === undefined ? undefined : timers.now() - lastContactAt,
			owner: this.isOwner,
			steps: this.term?.explain(id) ?? [],
		}
	}

	/** Hands over ownership and reports not ready; callers are still served. */
	async stop(): Promise<void> {
		this.stopping = true
		await this.ownership.leave()
	}

	/** Returns the milliseconds without a record of an owner; undefined while none could be read. */
	private getOwnerSilence(): number | undefined {
		const { loaded, available, recoveredAt } = this.progressFollower
		if (!loaded || !available) return undefined
		const { ownerSeenAt } = this.replica.terms
		const since = Math.max(this.startedAt, ownerSeenAt, recoveredAt ?? -Infinity)
		return this.options.timers.now() - since
	}

	private createIntakeFollower(stream: IntakeStream): StreamFollower {
		const { log, timers, events } = this.options
		const follower = new StreamFollower(
			stream,
			log,
			timers,
			events,
			(entry) => {
				this.replica.applyIntake(entry, stream, follower.loaded)
			},
			{
				maximumWait: MAXIMUM_INTAKE_WAIT,
				loadLimit: this.loadLimit,
				getPollDelay: () => (this.ownership.isOwner ? OWNER_INTAKE_POLL_DELAY : INTAKE_POLL_DELAY),
				onLoaded: () => {
					this.replica.handleIntakeLoaded(stream)
				},
			}
		)
		return follower
	}

	private beginTerm(token: number): void {
		const { log, backendClient, format, machineController, timers, events, metrics, getWallTime } =
			this.options
		this.endTerm()
		const term = new OwnerTerm({
			token,
			instance: this.options.instance,
			log,
			backendClient,
			format,
			machineController,
			machineOrdersPerSecond: this.options.machineOrdersPerSecond,
			getWaves: () => this.configuration.waves,
			evacuatedZones: this.configuration.evacuatedZones,
			subscribeEvacuations: (listener) => this.configuration.subscribeEvacuations(listener),
			timers,
			events,
			metrics,
			replica: this.replica,
			intake: [...this.intakeFollowers.values()],
			progress: this.progressFollower,
			getWallTime,
			getConfiguration: () => this.configuration.getCurrentOrEmpty(),
			getStatusRetention: this.options.getStatusRetention,
			isCurrent: () => this.ownership.isCurrent,
			isMember: () => this.ownership.isMember,
			onEnd: (reason) => {
				events.warn('owner-abandoned', { token, reason })
				this.term = undefined
				this.ownership.clearTerm()
				this.reportTermEnd(token)
			},
		})
		this.term = term
		term.start()
	}

	private endTerm(): void {
		const { term } = this
		if (!term) return
		term.end()
		this.term = undefined
		this.reportTermEnd(term.token)
	}

	private reportTermEnd(token: number): void {
		void this.termReporter.reportEnd(token)
	}

	private handleProgressLoaded(): void {
		this.replica.handleLoaded()
		if (!this.term) void this.termReporter.reportEarlierProcesses()
	}
}
