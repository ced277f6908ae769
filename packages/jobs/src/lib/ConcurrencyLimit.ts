/**
 * Limits how many calls are in flight at the same time, so that each is answered within its timeout
 * also over a narrow link or by a busy server. The others wait in order.
 *
 * @internal
 */
export class ConcurrencyLimit {
	private runningCount = 0
	private readonly waiting: (() => void)[] = []

	/** @param maximumConcurrency - maximum number of calls at a time */
	constructor(private readonly maximumConcurrency: number) {}

	/** Makes the call as soon as there is room for it. */
	async run<T>(call: () => Promise<T>): Promise<T> {
		if (this.runningCount < this.maximumConcurrency) this.runningCount += 1
		else await new Promise<void>((resolve) => this.waiting.push(resolve))
		try {
			return await call()
		} finally {
			// The next call takes over the room of this one.
			const next = this.waiting.shift()
			if (next) next()
			else this.runningCount -= 1
		}
	}
}
