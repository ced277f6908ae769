/**
 * Limits how many listings are read at the same time, so that each arrives within its timeout also
 * over a narrow link. The others wait in order.
 *
 * @internal
 */
export class ListingQueue {
	private runningCount = 0
	private readonly waiting: (() => void)[] = []

	/** @param maximumConcurrency - maximum number of listings at a time */
	constructor(private readonly maximumConcurrency: number) {}

	/** Runs `read` as soon as there is room for it. */
	async run<T>(read: () => Promise<T>): Promise<T> {
		if (this.runningCount < this.maximumConcurrency) this.runningCount += 1
		else await new Promise<void>((resolve) => this.waiting.push(resolve))
		try {
			return await read()
		} finally {
			// The next listing takes over the room of this one.
			const next = this.waiting.shift()
			if (next) next()
			else this.runningCount -= 1
		}
	}
}
