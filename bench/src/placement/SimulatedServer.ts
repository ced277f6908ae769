import type {
	AttemptOutcome,
	AvailabilityZoneId,
	BackendServerId,
	Milliseconds,
	TimerService,
} from '@mastichead/core'
import type { SimulatedRequest } from './SimulatedRequest.js'

/** Time that a failing backend server takes for its answer, in milliseconds. */
const FAILURE_TIME = 2

/**
 * A backend server that refuses what exceeds its slots.
 *
 * @internal
 */
export class SimulatedServer {
	readonly slots = 8
	failing = false
	/** Requests that came, by what became of them. */
	refused = 0
	failed = 0
	/** Waits of the requests that started, in milliseconds. */
	readonly waits: Milliseconds[] = []
	private running = 0

	constructor(
		readonly name: BackendServerId,
		readonly availabilityZone: AvailabilityZoneId,
		private readonly timers: TimerService
	) {}

	/** Runs or refuses a request and calls back with the outcome. */
	receive(request: SimulatedRequest, done: (outcome: AttemptOutcome) => void): void {
		if (this.failing) {
			this.failed++
			this.timers.after(FAILURE_TIME, () => {
				done({ type: 'answered', status: 500 })
			})
			return
		}
		if (this.running >= this.slots) {
			this.refused++
			done({ type: 'refused' })
			return
		}
		this.running++
		this.waits.push(this.timers.now() - request.at)
		this.timers.after(request.service, () => {
			this.running--
			done({ type: 'answered', status: 200 })
		})
	}
}
