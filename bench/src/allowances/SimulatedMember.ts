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
 * One entry instance of the bench: the real fold, holder and planner, and a count of waiting work.
 *
 * @internal
 */
export class SimulatedMember {
	readonly holder: AllowanceHolder
	readonly planner: AllowancePlanner
	readonly runningUnits = new Set<AllowanceUnit>()
	isAlive = true
	isProposing = false
	heartbeatCount = 0
	servedCount = 0
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

	/** Folds what is new in the log. */
	foldNewEntries(log: readonly LogEntry[]): void {
		for (const entry of log.slice(this.state.offset + 1)) this.fold.apply(entry)
		this.holder.observe(this.state)
	}

	/** Starts waiting work as far as allowance is free. */
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
