/** A call that waits for room. */
interface WaitingCall {
	readonly start: () => void
	readonly isUrgent: () => boolean
}

/**
 * Limits how many calls are in flight at the same time, so that each is answered within its timeout
 * also over a narrow link or by a busy server. The others wait in order, urgent ones first.
 *
 * @internal
 */
export class ConcurrencyLimit {
	private runningCount = 0
	private readonly waiting: WaitingCall[] = []

	/** @param maximumConcurrency - maximum number of calls at a time */
	constructor(private readonly maximumConcurrency: number) {}

	/**
	 * Makes the call as soon as there is room for it.
	 *
	 * @param isUrgent - whether it goes before others that wait; asked whenever there is room
	 */
	async run<T>(call: () => Promise<T>, isUrgent = () => false): Promise<T> {
		if (this.runningCount < this.maximumConcurrency) this.runningCount += 1
		else await new Promise<void>((start) => this.waiting.push({ start, isUrgent }))
		try {
			return await call()
		} finally {
			// The next call takes over the room of this one.
			const next = this.takeNext()
			if (next) next.start()
			else this.runningCount -= 1
		}
	}

	private takeNext(): WaitingCall | undefined {
		const urgent = this.waiting.findIndex(({ isUrgent }) => isUrgent())
		return this.waiting.splice(Math.max(0, urgent), 1)[0]
	}
}
