import type { BackendRow, TaskPlacement, TaskRow } from '@mastichead/core'
import type { OrderResult } from '../ports/OrderResult.js'
import { LeaseTiming } from './LeaseTiming.js'
import type { OwnerContext } from './OwnerContext.js'
import type { TaskUpdater } from './TaskUpdater.js'

/** Pause before a stop is repeated that was not answered, in milliseconds. */
const STOP_RETRY_PAUSE = 300
/** Pause before a task is placed again whose order a backend server refused, in milliseconds. */
const REFUSAL_PAUSE = 100

/**
 * Sends orders to backend servers and says what each answer means for the task.
 *
 * @public
 */
export class OrderDispatcher {
	private stopped = false

	/**
	 * @param requestListing - asks for a listing of the backend server soon
	 * @param onOrderFailure - a backend server has answered that it is in trouble, or not at all
	 * @param onOrderSuccess - a backend server has carried out an order
	 */
	constructor(
		private readonly context: OwnerContext,
		private readonly getTaskUpdater: () => TaskUpdater,
		private readonly requestListing: (backend: BackendRow) => void,
		private readonly onOrderFailure: (backend: BackendRow, reason: string) => void,
		private readonly onOrderSuccess: (backend: BackendRow) => void
	) {}

	/** Ends the term: nothing more is sent. */
	end(): void {
		this.stopped = true
	}

	/** Sends the order for a placement that is durable. */
	async startTask({ task, backend, attempt }: TaskPlacement): Promise<void> {
		if (this.stopped || !isPlacedAt(task, backend, attempt) || task.orderState !== 'recorded')
			return
		if (!this.context.mayAct()) return
		if (task.stopping) {
			this.getTaskUpdater().endRun(task, 'stopped', '', 'stopped before its order was sent')
			return
		}
		const { backendClient: server, timers, token, metrics } = this.context
		setOrderState(task, 'sent', timers.now())
		const leaseEnd = timers.now() + backend.clockOffset + LeaseTiming.duration
		backend.leasesExpireBy = Math.max(
			backend.leasesExpireBy,
			LeaseTiming.getLatestExpiry(timers.now())
		)
		const { specification } = task.job.job
		const sentAt = timers.now()
		const result = await server.start(backend, {
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
		if (isPlacedAt(task, backend, attempt)) this.handleStartResult(task, backend, result)
	}

	/** Stops the present run of a task, until its end is known. */
	async stopTask(task: TaskRow): Promise<void> {
		if (task.stopping) return
		task.stopping = true
		const { attempt } = task
		const backend = this.getBackend(task)
		if (!backend) return
		if (task.orderState === 'recorded') return
		while (!this.stopped && isPlacedAt(task, backend, attempt) && task.orderState !== 'barred') {
			const taken = await this.sendStopOrder(backend, task.id, attempt)
			if (taken && isPlacedAt(task, backend, attempt)) {
				setOrderState(task, 'barred', this.context.timers.now())
				this.requestListing(backend)
				return
			}
			await new Promise<void>((resolve) => this.context.timers.after(STOP_RETRY_PAUSE, resolve))
		}
	}

	/** Sends one stop for a run, of whichever task. */
	async sendStopOrder(backend: BackendRow, task: string, attempt: number): Promise<boolean> {
		const { backendClient: server, token, events, metrics } = this.context
		const result = await server.stop(backend, { task, attempt, token })
		metrics.count('stop_orders', result.kind === 'refused' ? result.reason : result.kind)
		events.info('run-stopping', { task, attempt, backend: backend.id, ...result })
		if (result.kind === 'refused' && result.reason === 'fence') {
			this.context.endTerm(`stop refused by ${backend.id}: fence`)
		}
		return result.kind === 'taken'
	}

	private handleStartResult(task: TaskRow, backend: BackendRow, result: OrderResult): void {
		const { timers, endTerm: abandon } = this.context
		switch (result.kind) {
			case 'taken':
				this.onOrderSuccess(backend)
				if (task.orderState === 'sent') setOrderState(task, 'confirmed', timers.now())
				return
			case 'unknown':
				if (task.orderState === 'sent') setOrderState(task, 'unclear', timers.now())
				this.onOrderFailure(backend, 'start without answer')
				this.requestListing(backend)
				return
			case 'refused':
				if (result.reason === 'fence') {
					abandon(`start refused by ${backend.id}: fence`)
					return
				}
				this.getTaskUpdater().endRun(task, 'stopped', '', `start refused: ${result.reason}`)
				task.notBefore = timers.now() + REFUSAL_PAUSE
				if (result.reason === 'room') this.requestListing(backend)
				return
			case 'unhealthy':
			case 'invalid':
			case 'moved':
			case 'unsent':
				this.onOrderFailure(backend, `${result.kind}: ${result.detail}`)
				this.getTaskUpdater().endRun(task, 'stopped', '', `start not taken: ${result.kind}`)
				task.notBefore = timers.now() + REFUSAL_PAUSE
				return
		}
	}

	private logStartResult(
		task: TaskRow,
		attempt: number,
		backend: BackendRow,
		result: OrderResult
	): void {
		const level = result.kind === 'taken' ? 'info' : 'warn'
		const { id } = backend
		this.context.events[level]('start-answered', { task: task.id, attempt, backend: id, ...result })
	}

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

function setOrderState(task: TaskRow, stage: TaskRow['orderState'], now: number): void {
	task.orderState = stage
	task.orderStateChangedAt = now
}
