/**
 * What truly runs at the backend servers of a pool.
 *
 * @internal
 */
export class SlotTruth {
	private readonly running: number[]
	readonly byTeam = new Map<string, number>()
	starts = 0
	refusals = 0

	constructor(
		readonly servers: number,
		private readonly slots: number
	) {
		this.running = Array.from({ length: servers }, () => 0)
	}

	/** Takes a request unless the server is full. */
	start(server: number, team: string): boolean {
		this.starts += 1
		if ((this.running[server] ?? 0) >= this.slots) {
			this.refusals += 1
			return false
		}
		this.running[server] = (this.running[server] ?? 0) + 1
		this.byTeam.set(team, (this.byTeam.get(team) ?? 0) + 1)
		return true
	}

	end(server: number, team: string): void {
		this.running[server] = (this.running[server] ?? 0) - 1
		this.byTeam.set(team, (this.byTeam.get(team) ?? 0) - 1)
	}

	get total(): number {
		return this.running.reduce((sum, count) => sum + count, 0)
	}
}
