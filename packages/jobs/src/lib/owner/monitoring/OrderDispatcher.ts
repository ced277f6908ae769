import type { BackendRow, TaskPlacement, TaskRow } from '@mastichead/core'
import { fitsWithin, getProbationTime, isOnProbation, noResources } from '@mastichead/core'
import type { BackendOrderResult } from '../../ports/BackendOrderResult.js'
import type { LeaseLedger } from '../leases/LeaseLedger.js'
import { LeaseTiming } from '../leases/LeaseTiming.js'
import type { OwnerContext } from '../terms/OwnerContext.js'
import { detectRestart } from './detectRestart.js'
import type { TaskUpdater } from './TaskUpdater.js'

/** Pause before an unanswered stop order is retried, in milliseconds. */
const STOP_RETRY_PAUSE = 300
/** Pause before a task is placed again after its start order was refused, in milliseconds. */
const REFUSAL_PAUSE = 100

/**
 * Sends start and stop orders to backend servers and updates the tasks from the answers.
 *
 * @public
 */
export class OrderDispatcher {
	private stopped = false

	/**
	 * @param requestListing - requests a listing of the backend server's runs
	 * @param onOrderFailure - called if a backend server did not answer a start order or could not
	 * accept it
	 * @param onOrderSuccess - called after a backend server has accepted a start order
	 */
	constructor(
		private readonly context: OwnerContext,
		private readonly leases: LeaseLedger,
		private readonly getTaskUpdater: () => TaskUpdater,
		private readonly requestListing: (backend: BackendRow) => void,
		private readonly onOrderFailure: (backend: BackendRow, reason: string) => void,
		private readonly onOrderSuccess: (backend: BackendRow) => void
	) {}

	/** Stops sending orders. */
	stop(): void {
		this.stopped = true
	}

	/**
	 * Sends the start order for a placement that is durable.
	 *
	 * @param placedAt - monotonic instant of the placement
	 */
	async startTask({ task, backend, attempt }: TaskPlacement, placedAt: number): Promise<void> {
		if (this.stopped || !isPlacedAt(task, backend, attempt) || task.orderState !== 'recorded')
			return
		if (!this.context.mayAct()) return
		if (task.stopping) {
			this.getTaskUpdater().endRun(task, 'stopped', '', 'stopped before its start order was sent')
			return
		}
		const problem = this.getStartProblem(backend)
		if (problem !== undefined) {
			this.getTaskUpdater().endRun(
				task,
				'stopped',
				'',
				`${problem} before its start order was sent`
			)
			return
		}
		const { backendClient, timers, token, metrics } = this.context
		setOrderState(task, 'sent', timers.now())
		const { clockOffset, clockReadAt } = backend
		const leaseEnd = LeaseTiming.getLeaseEnd(timers.now(), clockOffset, clockReadAt)
		backend.leasesExpireBy = Math.max(
			backend.leasesExpireBy,
			LeaseTiming.getLatestExpiry(timers.now())
		)
		const { specification } = task.job.job
		const sentAt = timers.now()
		task.startedAt = sentAt
		task.isStartTimed = true
		metrics.observe('order_delay', sentAt - placedAt)
		const result = await backendClient.start(backend, {
			task: task.id,
			attempt,
			specification,
			leaseEnd,
			token,
			checkpoint: task.checkpoint,
		})
		metrics.observe('start_order', timers.now() - sentAt)
		metrics.count('start_orders', result.kind === 'refused' ? result.reason : result.kind)
		if (this.isStopped()) return
		this.logStartResult(task, attempt, backend, result)
		if (result.kind === 'taken') this.getTaskUpdater().recordBegin(task.job)
		if (result.kind === 'taken' || result.kind === 'refused')
			this.checkClock(backend, result.clock ?? 0)
		if (isPlacedAt(task, backend, attempt)) this.handleStartResult(task, backend, result)
	}

	/** Stops the current run of a task, retrying until the backend server has accepted the stop order. */
	async stopTask(task: TaskRow): Promise<void> {
		if (task.stopping) return
		task.stopping = true
		const { attempt } = task
		const backend = this.getBackend(task)
		if (!backend) return
		// Not sent yet: `startTask` ends the run instead of sending the order.
		if (task.orderState === 'recorded') return
		while (!this.stopped && isPlacedAt(task, backend, attempt) && task.orderState !== 'barred') {
			const isAccepted = await this.sendStopOrder(backend, task.id, attempt)
			if (isAccepted && isPlacedAt(task, backend, attempt)) {
				setOrderState(task, 'barred', this.context.timers.now())
				this.requestListing(backend)
				return
			}
			await new Promise<void>((resolve) => this.context.timers.after(STOP_RETRY_PAUSE, resolve))
		}
	}

	/** Sends one stop order for a run, also if its task is unknown. Returns whether it was accepted. */
	async sendStopOrder(backend: BackendRow, task: string, attempt: number): Promise<boolean> {
		const { backendClient, token, events, metrics } = this.context
		const result = await backendClient.stop(backend, { task, attempt, token })
		metrics.count('stop_orders', result.kind === 'refused' ? result.reason : result.kind)
		events.info('run-stopping', { task, attempt, backend: backend.id, ...result })
		if (result.kind === 'refused' && result.reason === 'fence') {
			this.context.endTerm(`stop order refused by ${backend.id}: fence`)
		}
		return result.kind === 'taken'
	}

	private checkClock(backend: BackendRow, clock: number): void {
		const { timers, events } = this.context
		if (!detectRestart(backend, clock, timers.now())) return
		this.leases.recordLongLease(backend)
		events.warn('backend-clock-restarted', { backend: backend.id, clock })
		this.requestListing(backend)
	}

	private handleStartResult(task: TaskRow, backend: BackendRow, result: BackendOrderResult): void {
		const { timers, endTerm } = this.context
		switch (result.kind) {
			case 'taken':
				this.onOrderSuccess(backend)
				if (task.orderState === 'sent') setOrderState(task, 'confirmed', timers.now())
				this.scheduleProbationListing(task, backend)
				return
			case 'unknown':
				if (task.orderState === 'sent') setOrderState(task, 'unclear', timers.now())
				this.onOrderFailure(backend, 'start order without answer')
				this.requestListing(backend)
				return
			case 'refused':
				if (result.reason === 'fence') {
					endTerm(`start order refused by ${backend.id}: fence`)
					return
				}
				this.getTaskUpdater().endRun(task, 'stopped', '', `start order refused: ${result.reason}`)
				task.notBefore = timers.now() + REFUSAL_PAUSE
				if (result.reason === 'room') this.requestListing(backend)
				return
			case 'unhealthy':
			case 'invalid':
			case 'moved':
			case 'unsent':
				this.onOrderFailure(backend, `${result.kind}: ${result.detail}`)
				this.getTaskUpdater().endRun(
					task,
					'stopped',
					'',
					`start order not accepted: ${result.kind}`
				)
				task.notBefore = timers.now() + REFUSAL_PAUSE
				return
		}
	}

	/** Returns what has happened to a server since a task was placed on it, if it takes no start now. */
	private getStartProblem(backend: BackendRow): string | undefined {
		if (!this.leases.mayRenew(backend)) return 'server lost'
		if (backend.draining) return 'server draining'
		if (backend.evacuated) return 'zone being evacuated'
		const hasRoom = fitsWithin(noResources, backend.used, backend.capacity)
		return hasRoom ? undefined : 'room shrunk'
	}

	/** Looks whether a task on probation has survived its start, since others wait for that. */
	private scheduleProbationListing(task: TaskRow, backend: BackendRow): void {
		if (!isOnProbation(task)) return
		const { attempt } = task
		this.context.timers.after(getProbationTime(task.crashes) + 1, () => {
			if (isPlacedAt(task, backend, attempt) && isOnProbation(task)) this.requestListing(backend)
		})
	}

	private logStartResult(
		task: TaskRow,
		attempt: number,
		backend: BackendRow,
		result: BackendOrderResult
	): void {
		const level = result.kind === 'taken' ? 'info' : 'warn'
		const { id } = backend
		this.context.events[level]('start-answered', { task: task.id, attempt, backend: id, ...result })
	}

	/** Reads `stopped` after an await, where TypeScript would keep its narrowed value. */
	private isStopped(): boolean {
		return this.stopped
	}

	private getBackend(task: TaskRow): BackendRow | undefined {
		return task.backend === undefined ? undefined : this.context.backends.get(task.backend)
	}
}

function isPlacedAt(task: TaskRow, backend: BackendRow, attempt: number): boolean {
	return task.phase === 'placed' && task.backend === backend.id && task.attempt === attempt
}

function setOrderState(task: TaskRow, state: TaskRow['orderState'], now: number): void {
	task.orderState = state
	task.orderStateChangedAt = now
}
