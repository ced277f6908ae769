import type {
	AttemptOutcome,
	AvailabilityZoneId,
	BackendServerId,
	Milliseconds,
	TimerService,
} from '@mastichead/core'
import type { SimulatedRequest } from './SimulatedRequest.js'

/** Time that a failing backend server takes for its answer, in milliseconds. */
const FAILURE_RESPONSE_TIME = 2

/**
 * A backend server that refuses what exceeds its slots.
 *
 * @internal
 */
export class SimulatedServer {
	readonly slots = 8
	isFailing = false
	/** Requests that came, by what became of them. */
	refusedCount = 0
	failedCount = 0
	/** Waits of the requests that started, in milliseconds. */
	readonly waits: Milliseconds[] = []
	private running = 0

	constructor(
		readonly name: BackendServerId,
		readonly availabilityZone: AvailabilityZoneId,
		private readonly timers: TimerService
	) {}

	/** Runs or refuses a request and calls back with the outcome. */
	receive(request: SimulatedRequest, onOutcome: (outcome: AttemptOutcome) => void): void {
		if (this.isFailing) {
			this.failedCount++
			this.timers.after(FAILURE_RESPONSE_TIME, () => {
				onOutcome({ type: 'answered', status: 500 })
			})
			return
		}
		if (this.running >= this.slots) {
			this.refusedCount++
			onOutcome({ type: 'refused' })
			return
		}
		this.running++
		this.waits.push(this.timers.now() - request.at)
		this.timers.after(request.serviceTime, () => {
			this.running--
			onOutcome({ type: 'answered', status: 200 })
		})
	}
}
