/**
 * A read that concurrent callers share: one is in flight, and one more follows it for all calls made
 * in the meantime, since the first may have looked before they were made.
 *
 * @public
 */
export class SharedRead {
	private current: Promise<boolean> | undefined
	private next: Promise<boolean> | undefined

	/**
	 * @param read - resolves to whether the log answered
	 */
	constructor(private readonly read: () => Promise<boolean>) {}

	/** Resolves to the result of a read that starts after this call. */
	request(): Promise<boolean> {
		if (!this.current) {
			this.current = this.read().finally(() => {
				this.current = undefined
			})
			return this.current
		}
		const startNext = (): Promise<boolean> => {
			this.next = undefined
			return this.request()
		}
		this.next ??= this.current.then(startNext, startNext)
		return this.next
	}
}
