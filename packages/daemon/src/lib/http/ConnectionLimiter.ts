/**
 * Limits the number of open connections of each caller.
 *
 * @internal
 */
export class ConnectionLimiter {
	private readonly countsByCaller = new Map<string, number>()

	constructor(private readonly maximum: number) {}

	/** Number of open connections of all callers. */
	get count(): number {
		return [...this.countsByCaller.values()].reduce((sum, count) => sum + count, 0)
	}

	/** Adds a connection; returns false, without adding it, if the caller is at its limit. */
	tryAdd(caller: string): boolean {
		const count = this.countsByCaller.get(caller) ?? 0
		if (count >= this.maximum) return false
		this.countsByCaller.set(caller, count + 1)
		return true
	}

	/** Removes a connection that was added. */
	remove(caller: string): void {
		const count = this.countsByCaller.get(caller) ?? 0
		if (count <= 1) this.countsByCaller.delete(caller)
		else this.countsByCaller.set(caller, count - 1)
	}
}
