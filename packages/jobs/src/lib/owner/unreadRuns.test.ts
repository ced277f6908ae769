import type { FleetConfiguration, Job, JobStep, Resources } from '@mastichead/core'
import { createTestConfiguration, noResources } from '@mastichead/core'
import { describe, expect, it } from 'vitest'
import { getHomeStream } from '../intake/getHomeStream.js'
import type { LogRecord } from '../ports/LogRecord.js'
import { createTestFleet } from '../testing/createTestFleet.js'
import { findOverloads } from '../testing/findOverloads.js'
import type { MemoryLog } from '../testing/MemoryLog.js'

/** Team whose limit is tested, and one without a limit. */
const LIMITED_TEAM = 'installers'
const FREE_TEAM = 'planners'
/** Limit of the limited team and room of each server, as numbers of tasks of one core. */
const LIMIT = 8
const ROOM = 16
/** Time for which the stream of the first job cannot be read, in milliseconds. */
const OUTAGE = 6_000
/** Time after a restart by which an owner serves whom it can, in milliseconds. */
const TAKEOVER_TIME = 2_500
/** Time in which what can be started is started, in milliseconds. */
const START_TIME = 1_000
/** Time after which no lease of an earlier owner holds any more, in milliseconds. */
const LEASE_TIME = 12_000
/** Time between two looks at what runs, in milliseconds. */
const LOOK_INTERVAL = 10
/** How many numbers, and so ids, there are to choose from for each job. */
const NUMBERS_PER_JOB = 100

// Guards against starts above a team's limit, or on a full server, by an owner that has not read the job whose
// tasks use them: one partition of the submissions cannot be read while all instances are started again.
describe('an owner that has not read a job whose tasks run', () => {
	it.each([2_000, OUTAGE])(
		'keeps the limit of its team through an outage of %i ms',
		async (outage) => {
			const { fleet, first, submit, restart } = await createRunningJob({ count: LIMIT })
			const second = submit(2, LIMITED_TEAM, { count: LIMIT })
			await fleet.advance(500)
			await restart()
			await advanceWithin(fleet, outage, LIMIT)
			fleet.store.unavailableStreams.clear()
			await advanceWithin(fleet, START_TIME, LIMIT)
			fleet.backends.get('b1')?.endAll(first.id)
			await advanceWithin(fleet, START_TIME, LIMIT)
			expect(countRunning(fleet, second)).toBe(LIMIT)
		}
	)

	it('starts what its team may still use', async () => {
		const { fleet, submit, restart } = await createRunningJob({ count: LIMIT - 3 })
		await restart()
		const second = submit(2, LIMITED_TEAM, { count: LIMIT })
		await advanceWithin(fleet, TAKEOVER_TIME, LIMIT)
		expect(countRunning(fleet, second)).toBe(3)
	})

	it('starts tasks of other teams where there is room, and only there', async () => {
		const { fleet, submit, restart } = await createRunningJob({ count: ROOM, team: FREE_TEAM })
		const full = [...fleet.backends.keys()].filter((id) => countOn(fleet, id) === ROOM)
		expect(full).toHaveLength(1)
		await restart()
		const second = submit(2, FREE_TEAM, { count: ROOM + 2 })
		await fleet.advance(TAKEOVER_TIME)
		expect(countRunning(fleet, second)).toBe(ROOM + 2)
		const span = { from: 0, to: fleet.timers.now() }
		for (const id of fleet.backends.keys())
			expect(findOverloads(fleet.journal, id, ROOM, span)).toEqual([])
	})

	it('replaces lasting tasks of jobs that it has read', async () => {
		const { fleet, submit, restart } = await createRunningJob({ count: LIMIT })
		const second = submit(2, FREE_TEAM, { count: 1, lasting: true })
		await fleet.advance(500)
		await restart()
		await fleet.advance(TAKEOVER_TIME)
		const [run] = fleet.journal.getRuns(`${second.id}.0.0.0`)
		const server = fleet.backends.get(run?.backend ?? '')
		server?.restart()
		await fleet.advance(START_TIME)
		expect(countRunning(fleet, second)).toBe(1)
		expect(fleet.journal.getRuns(`${second.id}.0.0.0`)).toHaveLength(2)
	})

	it('counts a run no longer once its server lists it as ended', async () => {
		const { fleet, first, submit, restart } = await createRunningJob({ count: LIMIT })
		const second = submit(2, LIMITED_TEAM, { count: LIMIT })
		await fleet.advance(500)
		await restart()
		await advanceWithin(fleet, TAKEOVER_TIME, LIMIT)
		expect(countRunning(fleet, second)).toBe(0)
		for (const backend of fleet.backends.values()) backend.endAll(first.id)
		await advanceWithin(fleet, START_TIME, LIMIT)
		expect(countRunning(fleet, second)).toBe(LIMIT)
	})

	it('counts a run on a lost server until no lease can hold there', async () => {
		const { fleet, first, submit, restart } = await createRunningJob({ count: LIMIT })
		const second = submit(2, LIMITED_TEAM, { count: LIMIT })
		await fleet.advance(500)
		for (const id of fleet.backends.keys())
			if (countOn(fleet, id) > 0) fleet.instances[0]?.backendClient.unreachable.add(id)
		const cut = [...(fleet.instances[0]?.backendClient.unreachable ?? [])]
		await restart()
		for (const id of cut) fleet.instances[0]?.backendClient.unreachable.add(id)
		await advanceWithin(fleet, LEASE_TIME, LIMIT)
		expect(countRunning(fleet, first)).toBe(0)
		expect(countRunning(fleet, second)).toBe(LIMIT)
	})

	it('counts a run once when the job is read', async () => {
		const { fleet, first, submit, restart } = await createRunningJob({ count: LIMIT - 3 })
		const second = submit(2, LIMITED_TEAM, { count: LIMIT })
		await fleet.advance(500)
		await restart()
		await advanceWithin(fleet, TAKEOVER_TIME, LIMIT)
		fleet.store.unavailableStreams.clear()
		await advanceWithin(fleet, START_TIME, LIMIT)
		for (const backend of fleet.backends.values()) backend.endAll(first.id)
		await advanceWithin(fleet, START_TIME, LIMIT)
		expect(countRunning(fleet, second)).toBe(LIMIT)
	})

	it('counts best-effort tasks for the team, and their cpu for no server', async () => {
		const { fleet, submit, restart } = await createRunningJob({ count: LIMIT, fills: true })
		await restart()
		const second = submit(2, LIMITED_TEAM, { count: 1 })
		const third = submit(3, FREE_TEAM, { count: 3 * ROOM })
		await fleet.advance(TAKEOVER_TIME)
		expect(countRunning(fleet, second)).toBe(0)
		expect(countRunning(fleet, third)).toBe(3 * ROOM)
	})
})

// Guards against the same faults in a rolling update: the records of the version before do not say what their
// runs use.
describe('an owner that has not read a job which an owner of the version before has started', () => {
	it('starts nothing for teams with a limit, and nothing beside the runs', async () => {
		const { fleet, first, submit, restart } = await createRunningJob({
			count: LIMIT,
			isVersionBefore: true,
		})
		const used = [...fleet.backends.keys()].filter((id) => countOn(fleet, id) > 0)
		await restart()
		const second = submit(2, LIMITED_TEAM, { count: 1 })
		const third = submit(3, FREE_TEAM, { count: 3 * ROOM })
		await fleet.advance(TAKEOVER_TIME)
		expect(countRunning(fleet, second)).toBe(0)
		expect(countRunning(fleet, third)).toBe(ROOM * (fleet.backends.size - used.length))
		for (const id of used) expect(countOn(fleet, id, third)).toBe(0)
		fleet.store.unavailableStreams.clear()
		await fleet.advance(START_TIME)
		expect(countRunning(fleet, third)).toBe(ROOM * fleet.backends.size - LIMIT)
		for (const backend of fleet.backends.values()) backend.endAll(first.id)
		await fleet.advance(START_TIME)
		expect(countRunning(fleet, second)).toBe(1)
	})

	it('records what the runs use once it has read the job', async () => {
		const { fleet, submit, restart } = await createRunningJob({
			count: LIMIT - 3,
			isVersionBefore: true,
		})
		await restart()
		await fleet.advance(TAKEOVER_TIME)
		fleet.store.unavailableStreams.clear()
		await fleet.advance(START_TIME)
		await restart()
		const second = submit(2, LIMITED_TEAM, { count: LIMIT })
		await advanceWithin(fleet, TAKEOVER_TIME, LIMIT)
		expect(countRunning(fleet, second)).toBe(3)
	})
})

type TestFleet = ReturnType<typeof createTestFleet>

interface RunningJob {
	readonly fleet: TestFleet
	readonly first: Job
	/** Hands in a job that can be read throughout. */
	readonly submit: (number: number, team: string, step: Partial<JobStep>) => Job
	/** Starts all instances again, while the submission of the first job cannot be read. */
	readonly restart: () => Promise<void>
}

/** Creates a fleet in which all tasks of a first job run, each for as long as the test lets it. */
async function createRunningJob({
	team = LIMITED_TEAM,
	isVersionBefore = false,
	...step
}: Partial<JobStep> & {
	readonly team?: string
	readonly isVersionBefore?: boolean
}): Promise<RunningJob> {
	const fleet = createTestFleet({ instances: 1, backends: 3, configuration: createConfiguration() })
	for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
	const [instance] = fleet.instances
	if (isVersionBefore && instance) writeLikeVersionBefore(instance.log)
	await fleet.advance(START_TIME)
	const first = createJob(1, team, step)
	const stream = getHomeStream(first.id)
	const submit: RunningJob['submit'] = (number, submittingTeam, submittedStep) => {
		const job = createJobElsewhere(number, submittingTeam, submittedStep, first)
		void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		return job
	}
	const restart = async (): Promise<void> => {
		fleet.store.unavailableStreams.add(stream)
		fleet.restartInstance(0)
		await fleet.advance(100)
	}
	void fleet.instances[0]?.daemon.intake.submit(first, fleet.timers.now() + 2_000)
	await fleet.advance(START_TIME)
	expect(countRunning(fleet, first)).toBe(step.count)
	return { fleet, first, submit, restart }
}

function createConfiguration(): FleetConfiguration {
	const limit: Resources = { cpu: LIMIT * 1_000, memory: 0, gpu: 0 }
	const configuration = createTestConfiguration(limit)
	const free = { name: FREE_TEAM, keys: ['f'], weight: 1, limit: noResources }
	return { ...configuration, teams: new Map([...configuration.teams, [FREE_TEAM, free]]) }
}

function createJob(number: number, team: string, step: Partial<JobStep>): Job {
	return { ...createTestFleet.createJob(number, [step]), team }
}

/** Creates a job whose submission is in another stream than that of `other`. */
function createJobElsewhere(number: number, team: string, step: Partial<JobStep>, other: Job): Job {
	for (let candidate = number * NUMBERS_PER_JOB; ; candidate += 1) {
		const job = createJob(candidate, team, step)
		if (getHomeStream(job.id) !== getHomeStream(other.id)) return job
	}
}

/** Lets time pass, and checks that there are never more than a number of tasks running. */
async function advanceWithin(fleet: TestFleet, duration: number, limit: number): Promise<void> {
	for (let time = 0; time < duration; time += LOOK_INTERVAL) {
		await fleet.advance(LOOK_INTERVAL)
		expect(fleet.journal.running.length).toBeLessThanOrEqual(limit)
	}
}

function countRunning({ journal }: TestFleet, { id }: Job): number {
	return journal.running.filter((task) => task.startsWith(id)).length
}

/** Counts the tasks that run on a server, of one job or of all. */
function countOn({ journal }: TestFleet, server: string, job?: Job): number {
	const isThere = (task: string): boolean =>
		journal.getRuns(task).some((run) => run.backend === server && run.endedAt === undefined)
	return journal.running.filter((task) => isThere(task) && task.startsWith(job?.id ?? '')).length
}

/** Makes an instance write progress like the version before, which did not record what runs use. */
function writeLikeVersionBefore(log: MemoryLog): void {
	const append = log.append.bind(log)
	log.append = (stream, records, timeout, fence) =>
		append(stream, stream === 'progress' ? records.map(toVersionBefore) : records, timeout, fence)
}

function toVersionBefore({ key, value }: LogRecord): LogRecord {
	if (!value?.includes('"format":2')) return { key, value }
	const record = JSON.parse(value) as Record<string, unknown>
	return { key, value: JSON.stringify({ ...record, team: undefined, steps: undefined }) }
}
