import type { BackendRow, TaskPlacement, TaskRow } from '@mastichead/core'
import type { OrderResult } from '../ports/OrderResult.js'
import { LeaseTerms } from './LeaseTerms.js'
import type { OwnerContext } from './OwnerContext.js'
import type { TaskLedger } from './TaskLedger.js'

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
	 * @param look - asks for a listing of the backend server soon
	 * @param noteTrouble - a backend server has answered that it is in trouble, or not at all
	 * @param noteAnswer - a backend server has carried out an order
	 */
	constructor(
		private readonly context: OwnerContext,
		private readonly getLedger: () => TaskLedger,
		private readonly look: (backend: BackendRow) => void,
		private readonly noteTrouble: (backend: BackendRow, reason: string) => void,
		private readonly noteAnswer: (backend: BackendRow) => void
	) {}

	/** Ends the term: nothing more is sent. */
	end(): void {
		this.stopped = true
	}

	/** Sends the order for a placement that is durable. */
	async start({ task, backend, attempt }: TaskPlacement): Promise<void> {
		if (this.stopped || !isPlacedAt(task, backend, attempt) || task.order !== 'recorded') return
		if (!this.context.mayAct()) return
		if (task.stopping) {
			this.getLedger().endRun(task, 'stopped', '', 'stopped before its order was sent')
			return
		}
		const { server, timers, token, metrics } = this.context
		setOrder(task, 'sent', timers.now())
		const leaseEnd = timers.now() + backend.clockOffset + LeaseTerms.length
		backend.leasedUntil = Math.max(backend.leasedUntil, LeaseTerms.getCertainEnd(timers.now()))
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
		this.logStart(task, attempt, backend, result)
		if (isPlacedAt(task, backend, attempt)) this.noteStart(task, backend, result)
	}

	/** Stops the present run of a task, until its end is known. */
	async stop(task: TaskRow): Promise<void> {
		if (task.stopping) return
		task.stopping = true
		const { attempt } = task
		const backend = this.getBackend(task)
		if (!backend) return
		if (task.order === 'recorded') return
		while (!this.stopped && isPlacedAt(task, backend, attempt) && task.order !== 'barred') {
			const taken = await this.sendStop(backend, task.id, attempt)
			if (taken && isPlacedAt(task, backend, attempt)) {
				setOrder(task, 'barred', this.context.timers.now())
				this.look(backend)
				return
			}
			await new Promise<void>((resolve) => this.context.timers.after(STOP_RETRY_PAUSE, resolve))
		}
	}

	/** Sends one stop for a run, of whichever task. */
	async sendStop(backend: BackendRow, task: string, attempt: number): Promise<boolean> {
		const { server, token, events, metrics } = this.context
		const result = await server.stop(backend, { task, attempt, token })
		metrics.count('stop_orders', result.kind === 'refused' ? result.reason : result.kind)
		events.info('run-stopping', { task, attempt, backend: backend.id, ...result })
		if (result.kind === 'refused' && result.reason === 'fence') {
			this.context.abandon(`stop refused by ${backend.id}: fence`)
		}
		return result.kind === 'taken'
	}

	private noteStart(task: TaskRow, backend: BackendRow, result: OrderResult): void {
		const { timers, abandon } = this.context
		switch (result.kind) {
			case 'taken':
				this.noteAnswer(backend)
				if (task.order === 'sent') setOrder(task, 'confirmed', timers.now())
				return
			case 'unknown':
				if (task.order === 'sent') setOrder(task, 'unclear', timers.now())
				this.noteTrouble(backend, 'start without answer')
				this.look(backend)
				return
			case 'refused':
				if (result.reason === 'fence') {
					abandon(`start refused by ${backend.id}: fence`)
					return
				}
				this.getLedger().endRun(task, 'stopped', '', `start refused: ${result.reason}`)
				task.notBefore = timers.now() + REFUSAL_PAUSE
				if (result.reason === 'room') this.look(backend)
				return
			case 'unhealthy':
			case 'invalid':
			case 'moved':
			case 'unsent':
				this.noteTrouble(backend, `${result.kind}: ${result.detail}`)
				this.getLedger().endRun(task, 'stopped', '', `start not taken: ${result.kind}`)
				task.notBefore = timers.now() + REFUSAL_PAUSE
				return
		}
	}

	private logStart(task: TaskRow, attempt: number, backend: BackendRow, result: OrderResult): void {
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

function setOrder(task: TaskRow, stage: TaskRow['order'], now: number): void {
	task.order = stage
	task.orderedAt = now
}
