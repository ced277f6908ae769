import fc from 'fast-check'
import { expect, test } from 'vitest'
import { Fold } from '../fold/Fold.js'
import type { Proposal } from '../log/Proposal.js'
import type { FleetState } from '../state/FleetState.js'
import type { Wave } from '../state/Wave.js'
import { createMaintenanceCommand } from './testing/createMaintenanceCommand.js'
import { MaintenanceSimulation } from './testing/MaintenanceSimulation.js'

const SEED = 20_261_203
const RUNS = 300

/** Counts the backend servers in service independently of `AvailabilityLedger`. */
function countPool(state: FleetState, pool: string): { available: number; unavailable: number } {
	const liveMembers = [...state.members.values()].filter(
		({ renewedAt }) => state.at - renewedAt <= 120_000
	)
	let available = 0
	let unavailable = 0
	for (const [name, placement] of state.placements) {
		if (placement.pool !== pool) continue
		const zone = state.backendServers.get(name)?.availabilityZone
		const zoneMembers = liveMembers.filter((member) => member.availabilityZone === zone)
		const observers = zoneMembers.length > 1 ? zoneMembers : liveMembers
		const votes = observers.filter(({ instance }) => placement.reports?.includes(instance)).length
		const isHealthy = observers.length > 0 && (votes === 0 || votes < observers.length / 2)
		if (isHealthy && placement.activity.type === 'serving') available += 1
		else unavailable += 1
	}
	return { available, unavailable }
}

/** Checks the invariants that hold after every entry. */
function checkState(state: FleetState): void {
	expect(state.placements.size).toBe(state.backendServers.size)
	for (const { pool } of state.placements.values()) expect(state.pools.has(pool)).toBe(true)
	for (const wave of state.waves.values()) {
		const failures = wave.outcomes.filter(({ outcome }) => outcome === 'failed').length
		if (wave.state === 'running') expect(failures).toBeLessThanOrEqual(wave.failureLimit)
		const inProgress = [...wave.steps].filter(
			([, step]) => step === 'draining' || step === 'maintenance'
		)
		expect(inProgress.length).toBeLessThanOrEqual(wave.parallelism)
		for (const [name, step] of inProgress) {
			const activity = state.placements.get(name)?.activity
			expect(activity).toMatchObject({ type: step, wave: wave.id })
		}
	}
}

/** Returns the other zones in the pool of `server` with steps in progress and servers left to drain. */
function getZonesInProgress(state: FleetState, wave: Wave, server: string): readonly string[] {
	const pool = state.placements.get(server)?.pool
	const getZone = (name: string) => state.backendServers.get(name)?.availabilityZone ?? ''
	const inPool = [...wave.steps].filter(([name]) => state.placements.get(name)?.pool === pool)
	const inProgress = inPool.filter(([, step]) => step === 'draining' || step === 'maintenance')
	const waiting = inPool.filter(([name, step]) => {
		const placement = state.placements.get(name)
		return (
			step === 'waiting' && placement?.activity.type === 'serving' && placement.health === 'healthy'
		)
	})
	const zones = new Set(inProgress.map(([name]) => getZone(name)))
	return waiting
		.map(([name]) => getZone(name))
		.filter((zone) => zone !== getZone(server) && zones.has(zone))
}

/** Checks the additional invariants that hold after an accepted step. */
function checkStep(
	state: FleetState,
	proposal: Proposal,
	before: ReadonlyMap<string, string>,
	simulation: MaintenanceSimulation
): void {
	const moved = [...state.placements]
		.filter(([name, { pool }]) => before.get(name) !== pool)
		.map(([name]) => name)
	if (proposal.kind === 'apply') return
	const isReassign =
		proposal.kind === 'move' && (proposal.step === 'reassign' || proposal.step === 'abort')
	expect(isReassign ? [] : moved).toEqual([])
	if (isReassign) expect(moved.filter((name) => name !== proposal.backendServer)).toEqual([])
	if (proposal.kind !== 'wave-step' && proposal.kind !== 'move' && proposal.kind !== 'drain') return
	const pool = before.get(proposal.backendServer) ?? ''
	const mustKeepBudget =
		proposal.kind === 'drain'
			? proposal.draining &&
				!proposal.override &&
				state.placements.get(proposal.backendServer)?.health !== 'failed'
			: proposal.step === 'drain' || proposal.step === 'maintain'
	const mustBeDrained =
		proposal.kind !== 'drain' && (proposal.step === 'maintain' || proposal.step === 'reassign')
	if (mustBeDrained) expect(simulation.countRunning(proposal.backendServer)).toBe(0)
	if (!mustKeepBudget) return
	const { available, unavailable } = countPool(state, pool)
	expect(available).toBeGreaterThanOrEqual(state.pools.get(pool)?.minimumAvailable ?? 0)
	expect(unavailable).toBeLessThanOrEqual(state.pools.get(pool)?.maximumUnavailable ?? 0)
	if (proposal.kind !== 'wave-step') return
	const wave = state.waves.get(proposal.wave)
	expect(wave?.state).toBe('running')
	if (wave && proposal.step === 'drain')
		expect(getZonesInProgress(state, wave, proposal.backendServer)).toEqual([])
}

/** Creates a simulation that checks the invariants after every entry. */
function createSimulation(): MaintenanceSimulation {
	return new MaintenanceSimulation((simulation, entry, before, isNew) => {
		checkState(simulation.primaryFold.state)
		if (isNew) checkStep(simulation.primaryFold.state, entry.proposal, before, simulation)
	})
}

test('budgets, pools and running requests stay intact under concurrent waves, moves, operators and faults', () => {
	let accepted = 0
	fc.assert(
		fc.property(
			fc.array(createMaintenanceCommand(), { minLength: 60, maxLength: 250 }),
			(commands) => {
				const simulation = createSimulation()
				simulation.run({ type: 'wave', wave: 0, action: 'create' })
				for (const each of commands) simulation.run(each)
				const replica = new Fold()
				for (const entry of simulation.entries) replica.apply(entry)
				expect(replica.state).toEqual(simulation.primaryFold.state)
				accepted += [...simulation.primaryFold.state.decisions.values()].filter(
					({ type }) => type === 'accepted'
				).length
			}
		),
		{ seed: SEED, numRuns: RUNS, endOnFailure: true }
	)
	expect(accepted).toBeGreaterThan(5_000)
})

test('a wave ends after all faults have ended, whichever daemon continues it', () => {
	fc.assert(
		fc.property(
			fc.array(createMaintenanceCommand(), { minLength: 30, maxLength: 120 }),
			(commands) => {
				const simulation = createSimulation()
				simulation.run({ type: 'wave', wave: 0, action: 'create' })
				for (const each of commands) simulation.run(each)
				simulation.endFaults()
				simulation.runDaemons(30)
				simulation.run({ type: 'wave', wave: 0, action: 'pause' })
				simulation.run({ type: 'wave', wave: 1, action: 'pause' })
				for (let round = 0; round < 10; round += 1) {
					simulation.restorePlacements()
					simulation.runDaemons(20)
				}
				simulation.run({ type: 'wave', wave: 0, action: 'resume' })
				simulation.run({ type: 'wave', wave: 1, action: 'resume' })
				simulation.runDaemons(500)
				for (const wave of simulation.primaryFold.state.waves.values())
					expect(['done', 'aborted']).toContain(wave.state)
				for (const { activity } of simulation.primaryFold.state.placements.values()) {
					expect(activity.type === 'maintenance').toBe(false)
				}
			}
		),
		{ seed: SEED, numRuns: 30, endOnFailure: true }
	)
})
