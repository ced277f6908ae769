import {
	RequestAttempts,
	type AttemptOutcome,
	type AvailabilityZoneId,
	type Milliseconds,
	type RetryBudget,
	type SlotGrant,
	type TimerService,
} from '@mastichead/core'
import { OwnerSlotSource } from './OwnerSlotSource.js'
import type { SimulatedRequest } from './SimulatedRequest.js'
import type { SimulatedServer } from './SimulatedServer.js'
import type { SimulatedSlotSource } from './SimulatedSlotSource.js'

interface WaitingRequest {
	readonly request: SimulatedRequest
	readonly attempts: RequestAttempts
}

interface Options {
	readonly availabilityZone: AvailabilityZoneId
	readonly timers: TimerService
	readonly slots: SimulatedSlotSource
	readonly budget: RetryBudget
	readonly servers: readonly SimulatedServer[]
	/** Returns the one-way latency to a zone. */
	readonly getLatency: (zone: AvailabilityZoneId) => Milliseconds
	/** Called after the queue or the slots in use change. */
	readonly onChange: () => void
}

/**
 * Entry instance of a placement simulation: a queue and the real retry decisions.
 *
 * @internal
 */
export class SimulatedEntry {
	attemptCount = 0
	/** Requests that ended without running. */
	lostCount = 0
	/** Attempts sent to a backend server of another zone. */
	spilledCount = 0
	private readonly queue: WaitingRequest[] = []

	constructor(private readonly options: Options) {}

	get queued(): number {
		return this.queue.length
	}

	/** Age of the oldest waiting request. */
	get oldestAge(): Milliseconds {
		const oldest = this.queue[0]
		return oldest ? this.options.timers.now() - oldest.request.at : 0
	}

	receive(request: SimulatedRequest): void {
		const { timers, budget, onChange } = this.options
		const attempts = new RequestAttempts({ timers, budget, idempotent: false, deadline: Infinity })
		this.queue.push({ request, attempts })
		this.dispatch()
		onChange()
	}

	/** Adds slots that the pool's slot owner granted and starts waiting requests on them. */
	addGrants(grants: readonly SlotGrant[]): void {
		const { slots, onChange } = this.options
		if (!(slots instanceof OwnerSlotSource)) return
		for (const grant of grants) slots.holder.addGrant(grant, 'entry-0')
		this.dispatch()
		onChange()
	}

	dispatch(): void {
		for (let waiting = this.queue[0]; waiting; waiting = this.queue[0]) {
			const name = this.options.slots.reserve(waiting.attempts.excluded)
			const server = this.options.servers.find((row) => row.name === name)
			if (!server) return
			this.queue.shift()
			this.send(waiting, server)
		}
	}

	private send(waiting: WaitingRequest, server: SimulatedServer): void {
		const { timers, getLatency, availabilityZone } = this.options
		const latency = getLatency(server.availabilityZone)
		waiting.attempts.start(server.name)
		this.attemptCount++
		if (server.availabilityZone !== availabilityZone) this.spilledCount++
		timers.after(latency, () => {
			server.receive(waiting.request, (outcome) => {
				timers.after(latency, () => {
					this.endAttempt(waiting, server, outcome)
				})
			})
		})
	}

	private endAttempt(
		waiting: WaitingRequest,
		server: SimulatedServer,
		outcome: AttemptOutcome
	): void {
		this.options.slots.end(server.name, getResult(outcome))
		const decision = waiting.attempts.end(outcome, { replayable: true })
		if (decision.type === 'retry') this.queue.unshift(waiting)
		else if (outcome.type === 'refused') this.lostCount++
		this.dispatch()
		this.options.onChange()
	}
}

function getResult(outcome: AttemptOutcome): 'success' | 'failure' | 'full' {
	if (outcome.type === 'refused') return 'full'
	return outcome.type === 'answered' && outcome.status < 500 ? 'success' : 'failure'
}
