import type {
	AttemptOutcome,
	AvailabilityZoneId,
	BackendServerId,
	Milliseconds,
	TimerService,
} from '@mastichead/core'
import type { SimulatedRequest } from './SimulatedRequest.js'

/** Time until a failing backend server responds, in milliseconds. */
const FAILURE_RESPONSE_TIME = 2

/**
 * Backend server that refuses requests beyond its slots.
 *
 * @internal
 */
export class SimulatedServer {
	readonly slots = 8
	isFailing = false
	refusedCount = 0
	failedCount = 0
	/** Time from arrival to start of each started request, in milliseconds. */
	readonly waits: Milliseconds[] = []
	private running = 0

	constructor(
		readonly name: BackendServerId,
		readonly availabilityZone: AvailabilityZoneId,
		private readonly timers: TimerService
	) {}

	/** Runs, fails or refuses a request, then calls `onOutcome`. */
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
