import { Agent, request } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import type { CallRecord } from './CallRecord.js'
import type { JobRecord } from './JobRecord.js'
import type { Random } from './Random.js'
import { RunServerStandin } from '@mastichead/standins'
import { SoakFleet } from './SoakFleet.js'

const CALLERS_PORT = 8_340
/** Time after which a caller gives up; the instance is told 500 ms less. */
const CALL_TIMEOUT_MILLISECONDS = 8_000
const DEADLINE_MILLISECONDS = 3_000
const RETRY_PAUSE_MILLISECONDS = 300
const QUERY_PAUSE_MILLISECONDS = 500
const MAXIMUM_SUBMISSIONS = 12
/** One job of this many is cancelled soon after its acceptance. */
const CANCEL_INTERVAL = 7
/** One job of this many has lasting tasks. */
const LASTING_INTERVAL = 20
/** Every other one of them is cancelled this time after its acceptance, the others at the end. */
const LASTING_MILLISECONDS = 6_000
/** One job of this many has tasks that crash backend servers. */
const CRASHING_INTERVAL = 23
const MAXIMUM_STEP_WIDTH = 4

/**
 * Callers of the instances. They keep their connections open until the process at the other end is
 * gone, and record what they see.
 *
 * @public
 */
export class SoakCaller {
	readonly jobs: JobRecord[] = []
	readonly calls: CallRecord[] = []
	/** Key that new calls show. */
	key = 'key-0'
	private readonly agent = new Agent({ keepAlive: true })
	private resolveLastingJobsEnd: () => void = () => undefined
	private readonly lastingJobsEnd = new Promise<void>((resolve) => {
		this.resolveLastingJobsEnd = resolve
	})
	private stopped = false

	constructor(
		private readonly fleet: SoakFleet,
		private readonly random: Random,
		private readonly instances: number
	) {}

	/** Submits a job and follows it until it has ended. Resolves then, or when callers are stopped. */
	async runJob(number: number): Promise<void> {
		const isLasting = number % LASTING_INTERVAL === 0
		const isCrashing = !isLasting && number % CRASHING_INTERVAL === 0
		const drawn = [1, 2].map(() => this.random.integer(1, MAXIMUM_STEP_WIDTH))
		const widths = isLasting ? drawn.slice(1) : drawn
		const job: JobRecord = {
			id: number.toString(16).padStart(16, '0'),
			tasks: widths.reduce((sum, width) => sum + width, 0),
			acceptedAt: undefined,
			lasting: isLasting,
			crashing: isCrashing,
			refused: false,
			cancelSentAt: undefined,
			cancelledAt: undefined,
			completedAt: undefined,
			state: undefined,
		}
		this.jobs.push(job)
		await this.submit(job, isLasting ? createLastingBody(widths) : createBody(widths, isCrashing))
		if (job.acceptedAt === undefined) return
		if (number % (2 * LASTING_INTERVAL) === 0) await this.lastingJobsEnd
		else if (isLasting) await delay(LASTING_MILLISECONDS)
		else if (number % CANCEL_INTERVAL === 0) await this.cancel(job)
		while (!this.stopped && !isFinal(job.state)) {
			if (isLasting) await this.cancel(job)
			await delay(QUERY_PAUSE_MILLISECONDS)
			await this.query(job)
		}
	}

	/** Asks for the state of every accepted job once more. */
	async queryAll(): Promise<void> {
		for (const job of this.jobs) if (job.acceptedAt !== undefined) await this.query(job)
	}

	/** Lets the callers cancel the jobs whose tasks last until the end. */
	endLastingJobs(): void {
		this.resolveLastingJobsEnd()
	}

	stop(): void {
		this.stopped = true
	}

	close(): void {
		this.agent.destroy()
	}

	private async submit(job: JobRecord, body: string): Promise<void> {
		let refusals = 0
		for (let attempt = 0; attempt < MAXIMUM_SUBMISSIONS && !this.stopped; attempt += 1) {
			const { status } = await this.call('POST', job.id, body)
			if (status === 200) {
				job.acceptedAt = Date.now()
				job.refused = false
				return
			}
			if (status === 503 || status === 429 || status === 401) refusals += 1
			job.refused = refusals === attempt + 1
			await delay(RETRY_PAUSE_MILLISECONDS)
		}
	}

	private async cancel(job: JobRecord): Promise<void> {
		job.cancelSentAt ??= Date.now()
		const { status } = await this.call('DELETE', job.id)
		// Without an answer it is unclear, so that both ends of the job are allowed.
		if (status === 200 || status === 0 || status === 504) job.cancelledAt = Date.now()
	}

	private async query(job: JobRecord): Promise<void> {
		const { status, body } = await this.call('GET', job.id)
		if (status === 410) job.state = 'unknown'
		if (status !== 200) return
		job.state = (JSON.parse(body) as { state: string }).state
		if (job.state === 'completed') job.completedAt ??= Date.now()
	}

	private async call(method: string, id: string, body?: string): Promise<Answer> {
		const instance = this.random.integer(0, this.instances - 1)
		const sentAt = Date.now()
		const { key } = this
		const answer = await this.send(instance, method, id, body)
		const { status } = answer
		this.calls.push({ method, instance, key, sentAt, endedAt: Date.now(), status })
		return answer
	}

	private send(instance: number, method: string, id: string, body?: string): Promise<Answer> {
		return new Promise((resolve) => {
			const settle = (status: number, text: string): void => {
				resolve({ status, body: text })
			}
			const outgoing = request(
				{
					agent: this.agent,
					host: this.fleet.getInstanceAddress(instance),
					port: CALLERS_PORT,
					method,
					path: `/quotes/${id}`,
					timeout: CALL_TIMEOUT_MILLISECONDS,
					headers: {
						Host: 'desk.example',
						Authorization: `Bearer ${this.key}`,
						'Deadline-Ms': DEADLINE_MILLISECONDS,
					},
				},
				(incoming) => {
					const chunks: Buffer[] = []
					incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
					incoming.on('end', () => {
						settle(incoming.statusCode ?? 0, Buffer.concat(chunks).toString())
					})
					incoming.on('error', () => {
						settle(0, '')
					})
				}
			)
			outgoing.on('timeout', () => outgoing.destroy())
			outgoing.on('error', () => {
				settle(0, '')
			})
			outgoing.end(body)
		})
	}
}

interface Answer {
	/** 0 if there was no whole answer. */
	readonly status: number
	readonly body: string
}

function isFinal(state: string | undefined): boolean {
	return state === 'completed' || state === 'cancelled' || state === 'failed'
}

function createLastingBody([count = 1]: readonly number[]): string {
	const step = { cpu: SoakFleet.taskCpu, mem_mb: 100, estimate_ms: 0, long_running: true }
	const spec = RunServerStandin.lastingSpecification
	return JSON.stringify({ spec, steps: [{ ...step, count }] })
}

function createBody([first = 1, second = 1]: readonly number[], isCrashing: boolean): string {
	const step = { cpu: SoakFleet.taskCpu, mem_mb: 100, estimate_ms: 400 }
	const steps = [
		{ ...step, count: first },
		{ ...step, count: second, depends_on: [0] },
	]
	const spec = isCrashing ? RunServerStandin.crashingSpecification : 'soak'
	return JSON.stringify({ spec, steps })
}
