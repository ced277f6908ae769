import type { Fold } from '@mastichead/core'
import {
	AllowanceHolder,
	AllowancePlanner,
	type AllowancePolicy,
	type AllowanceUnit,
	type FleetState,
	type LogEntry,
	type TeamId,
	type TimerService,
} from '@mastichead/core'

/**
 * Entry instance of the allowance bench: the real fold, holder and planner, and a counter in place
 * of the request queue.
 *
 * @internal
 */
export class SimulatedMember {
	readonly holder: AllowanceHolder
	readonly planner: AllowancePlanner
	readonly runningUnits = new Set<AllowanceUnit>()
	isAlive = true
	/** Whether an allowance proposal is in flight. */
	isProposing = false
	heartbeatCount = 0
	/** Requests started so far. */
	servedCount = 0
	/** Requests that wait. */
	queued = 0

	constructor(
		readonly name: string,
		readonly zone: number,
		readonly fold: Fold,
		timerService: TimerService,
		policy: AllowancePolicy
	) {
		this.holder = new AllowanceHolder(name, timerService)
		this.planner = new AllowancePlanner(this.holder, policy, timerService)
	}

	get state(): FleetState {
		return this.fold.state
	}

	/** Folds the log entries that this member has not seen yet. */
	foldNewEntries(log: readonly LogEntry[]): void {
		for (const entry of log.slice(this.state.offset + 1)) this.fold.apply(entry)
		this.holder.observe(this.state)
	}

	/** Starts waiting requests while free allowance is left. */
	startQueued(team: TeamId): AllowanceUnit[] {
		const started: AllowanceUnit[] = []
		while (this.isAlive && this.queued > 0) {
			const unit = this.planner.tryAcquire(team)
			if (!unit) break
			this.queued--
			this.servedCount++
			this.runningUnits.add(unit)
			started.push(unit)
		}
		return started
	}
}
