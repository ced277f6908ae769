/**
 * Backend servers of one pool, with the requests that actually run on them.
 *
 * @internal
 */
export class SimulatedBackendPool {
	private readonly running: number[]
	readonly runningByTeam = new Map<string, number>()
	attemptCount = 0
	refusedCount = 0

	constructor(
		readonly servers: number,
		private readonly slots: number
	) {
		this.running = Array.from({ length: servers }, () => 0)
	}

	/** Starts a request unless the backend server is full. Returns whether it started. */
	tryStart(server: number, team: string): boolean {
		this.attemptCount += 1
		if ((this.running[server] ?? 0) >= this.slots) {
			this.refusedCount += 1
			return false
		}
		this.running[server] = (this.running[server] ?? 0) + 1
		this.runningByTeam.set(team, (this.runningByTeam.get(team) ?? 0) + 1)
		return true
	}

	end(server: number, team: string): void {
		this.running[server] = (this.running[server] ?? 0) - 1
		this.runningByTeam.set(team, (this.runningByTeam.get(team) ?? 0) - 1)
	}

	get totalRunning(): number {
		return this.running.reduce((sum, count) => sum + count, 0)
	}
}
