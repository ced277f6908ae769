import {
	AllowanceHolder,
	AllowancePlanner,
	Fold,
	LendingPolicy,
	VirtualTimerService,
	type Proposal,
} from '@mastichead/core'

const MEMBER_COUNTS = [8, 18, 36, 72]
const TEAM_COUNTS = [44, 88, 175, 350]
const TEAM_LIMIT = 1000
const ROUNDS = 200
/** Part of the teams that have waiting requests during a planner tick. */
const ACTIVE_TEAM_FRACTION = 0.1

/**
 * Mean processor time of one action at one deployment size.
 *
 * @public
 */
interface Row {
	readonly measure: 'fold a heartbeat' | 'fold an allowance entry of every team' | 'plan a tick'
	readonly members: number
	readonly teams: number
	readonly microseconds: number
}

/**
 * Measures how the processor time of membership and allowances grows with members and with teams.
 *
 * @public
 */
export function allowanceSlopes(): Row[] {
	const sizes = [
		...MEMBER_COUNTS.map((members) => ({ members, teams: 350 })),
		...TEAM_COUNTS.slice(0, -1).map((teams) => ({ members: 8, teams })),
	]
	return sizes.flatMap(measureSize)
}

function measureSize({ members, teams }: { members: number; teams: number }): Row[] {
	const fold = createFold(members, teams)
	const createRow = (measure: Row['measure'], microseconds: number): Row => {
		return { measure, members, teams, microseconds: Math.round(microseconds) }
	}
	const heartbeat = measureMicroseconds((round) => {
		const id = `beat-${round}`
		applyProposal(fold, { kind: 'heartbeat', id, instance: `entry-${round % members}` })
	})
	const allowanceChange = measureMicroseconds((round) => {
		applyAllowanceChange(fold, 'entry-0', 10 + round, teams, round % 2 === 0 ? -1 : 1)
	})
	return [
		createRow('fold a heartbeat', heartbeat),
		createRow('fold an allowance entry of every team', allowanceChange),
		createRow('plan a tick', measurePlannerTick(fold, members, teams)),
	]
}

function createFold(members: number, teams: number): Fold {
	const fold = new Fold()
	for (let team = 0; team < teams; team++) {
		fold.state.teams.set(`team-${team}`, { name: `team-${team}`, share: 1, limit: TEAM_LIMIT })
	}
	fold.state.runBounds = [{ runMilliseconds: 10_000 }]
	for (let member = 0; member < members; member++) {
		const instance = `entry-${member}`
		const location = { availabilityZone: 'a', peerAddress: `${instance}:1` }
		applyProposal(fold, { kind: 'join', id: `${instance}/join`, instance, ...location })
		applyAllowanceChange(fold, instance, 1, teams, Math.floor(TEAM_LIMIT / members))
	}
	return fold
}

function applyAllowanceChange(
	fold: Fold,
	instance: string,
	sequence: number,
	teams: number,
	delta: number
): void {
	const changes = Array.from({ length: teams }, (_, team) => ({ team: `team-${team}`, delta }))
	applyProposal(fold, {
		kind: 'allowance',
		id: `${instance}/${sequence}`,
		instance,
		sequence,
		changes,
	})
}

function applyProposal(fold: Fold, proposal: Proposal): void {
	fold.apply({ offset: fold.state.offset + 1, at: 0, proposal })
}

/** Measures a planner tick at a member that knows the load of all its peers. */
function measurePlannerTick(fold: Fold, members: number, teams: number): number {
	const timers = new VirtualTimerService()
	const holder = new AllowanceHolder('entry-1', timers)
	const planner = new AllowancePlanner(holder, new LendingPolicy(), timers)
	holder.observe(fold.state)
	const active = Math.ceil(teams * ACTIVE_TEAM_FRACTION)
	const queued = new Map<string, number>()
	for (let team = 0; team < active; team++) queued.set(`team-${team}`, 5)
	const load = { running: 3, queued: 1, free: 2 }
	for (let member = 2; member < members; member++) {
		const loads = Array.from({ length: teams }, (_, team) => [`team-${team}`, load] as const)
		planner.peerLoads.update(`entry-${member}`, loads)
	}
	return measureMicroseconds(() => {
		planner.tick(fold.state, queued)
	})
}

/** Returns the mean microseconds per round, after as many warm-up rounds. */
function measureMicroseconds(action: (round: number) => void): number {
	for (let round = 0; round < ROUNDS; round++) action(round)
	const start = performance.now()
	for (let round = ROUNDS; round < 2 * ROUNDS; round++) action(round)
	return ((performance.now() - start) * 1000) / ROUNDS
}
