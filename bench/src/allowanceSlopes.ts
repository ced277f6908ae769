import {
	AllowanceHolder,
	AllowancePlanner,
	Fold,
	LendingPolicy,
	VirtualTimerService,
	type Proposal,
} from '@mastichead/core'

const MEMBER_SIZES = [8, 18, 36, 72]
const TEAM_SIZES = [44, 88, 175, 350]
const LIMIT = 1000
const ROUNDS = 200
const ACTIVE_PART = 0.1

/**
 * Processor time of one action at a size of the deployment.
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
 * Measures what membership and allowances cost by members and by teams.
 *
 * @public
 */
export function allowanceSlopes(): Row[] {
	const sizes = [
		...MEMBER_SIZES.map((members) => ({ members, teams: 350 })),
		...TEAM_SIZES.slice(0, -1).map((teams) => ({ members: 8, teams })),
	]
	return sizes.flatMap(measureSize)
}

function measureSize({ members, teams }: { members: number; teams: number }): Row[] {
	const fold = createFold(members, teams)
	const row = (measure: Row['measure'], microseconds: number): Row => {
		return { measure, members, teams, microseconds: Math.round(microseconds) }
	}
	const heartbeat = measure((round) => {
		const id = `beat-${round}`
		take(fold, { kind: 'heartbeat', id, instance: `entry-${round % members}` })
	})
	const change = measure((round) => {
		takeChange(fold, 'entry-0', 10 + round, teams, round % 2 === 0 ? -1 : 1)
	})
	return [
		row('fold a heartbeat', heartbeat),
		row('fold an allowance entry of every team', change),
		row('plan a tick', measureTick(fold, members, teams)),
	]
}

function createFold(members: number, teams: number): Fold {
	const fold = new Fold()
	for (let team = 0; team < teams; team++) {
		fold.state.teams.set(`team-${team}`, { name: `team-${team}`, share: 1, limit: LIMIT })
	}
	fold.state.runBounds = [{ runMilliseconds: 10_000 }]
	for (let member = 0; member < members; member++) {
		const instance = `entry-${member}`
		const where = { availabilityZone: 'a', peerAddress: `${instance}:1` }
		take(fold, { kind: 'join', id: `${instance}/join`, instance, ...where })
		takeChange(fold, instance, 1, teams, Math.floor(LIMIT / members))
	}
	return fold
}

function takeChange(
	fold: Fold,
	instance: string,
	sequence: number,
	teams: number,
	delta: number
): void {
	const changes = Array.from({ length: teams }, (_, team) => ({ team: `team-${team}`, delta }))
	take(fold, { kind: 'allowance', id: `${instance}/${sequence}`, instance, sequence, changes })
}

function take(fold: Fold, proposal: Proposal): void {
	fold.apply({ offset: fold.state.offset + 1, at: 0, proposal })
}

/** A tick at a member of which a part of the teams has running and waiting requests. */
function measureTick(fold: Fold, members: number, teams: number): number {
	const timers = new VirtualTimerService()
	const holder = new AllowanceHolder('entry-1', timers)
	const planner = new AllowancePlanner(holder, new LendingPolicy(), timers)
	holder.observe(fold.state)
	const active = Math.ceil(teams * ACTIVE_PART)
	const queued = new Map<string, number>()
	for (let team = 0; team < active; team++) queued.set(`team-${team}`, 5)
	const load = { running: 3, queued: 1, free: 2 }
	for (let member = 2; member < members; member++) {
		const loads = Array.from({ length: teams }, (_, team) => [`team-${team}`, load] as const)
		planner.peerLoads.update(`entry-${member}`, loads)
	}
	return measure(() => {
		planner.tick(fold.state, queued)
	})
}

/** Mean microseconds of the later rounds. */
function measure(act: (round: number) => void): number {
	for (let round = 0; round < ROUNDS; round++) act(round)
	const start = performance.now()
	for (let round = ROUNDS; round < 2 * ROUNDS; round++) act(round)
	return ((performance.now() - start) * 1000) / ROUNDS
}
