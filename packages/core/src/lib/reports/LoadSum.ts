/**
 * Sums running and queued requests by name.
 *
 * @internal
 */
export class LoadSum {
	private readonly totals = new Map<string, { running: number; queued: number }>()

	add(name: string, load: { readonly running: number; readonly queued: number }): void {
		const row = this.totals.get(name)
		if (row) {
			row.running += load.running
			row.queued += load.queued
		} else this.totals.set(name, { running: load.running, queued: load.queued })
	}

	/** Returns the sums of one name; zeros if nothing was added. */
	get(name: string): { readonly running: number; readonly queued: number } {
		return this.totals.get(name) ?? { running: 0, queued: 0 }
	}

	/** Number of running requests over all names. */
	get running(): number {
		let running = 0
		for (const row of this.totals.values()) running += row.running
		return running
	}
}
