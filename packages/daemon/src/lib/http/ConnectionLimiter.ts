/**
 * Counts open connections by caller and refuses those above the limit.
 *
 * @internal
 */
export class ConnectionLimiter {
	private readonly open = new Map<string, number>()

	constructor(private readonly maximum: number) {}

	/** Open connections of all callers. */
	get count(): number {
		return [...this.open.values()].reduce((sum, count) => sum + count, 0)
	}

	/** Counts a connection; false when the caller is at its limit. */
	tryAdd(caller: string): boolean {
		const count = this.open.get(caller) ?? 0
		if (count >= this.maximum) return false
		this.open.set(caller, count + 1)
		return true
	}

	/** Forgets a connection that was counted. */
	remove(caller: string): void {
		const count = this.open.get(caller) ?? 0
		if (count <= 1) this.open.delete(caller)
		else this.open.set(caller, count - 1)
	}
}
