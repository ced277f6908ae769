import { describe, expect, it } from 'vitest'
import { createCrashFleet } from '../testing/createCrashFleet.js'

/** Crashes under a task after which it is given up. */
const CRASH_LIMIT = 2
/** Starts of a task that crashes servers which the users allow: three crashes, and two starts more. */
const MAXIMUM_STARTS = 5
/** Time in which a task that crashes servers must have been given up, in milliseconds. */
const OBSERVED_TIME = 40_000
const LASTING = 0x100

type TestFleet = Awaited<ReturnType<typeof createCrashFleet>>['fleet']

// Guards against a task that crashes server after server.
describe('a task that crashes the servers that start it', () => {
	it.each(['same-id', undefined] as const)(
		'is given up after two crashes, and its job is shown as failed, servers restart with %s',
		async (restart) => {
			const crashFleet = await createCrashFleet({
				instances: 2,
				backends: 4,
				...(restart && { restart }),
			})
			const { fleet, crashing, submit, getState, crashes } = crashFleet
			crashing.add(`${createId(1)}.0.0.0`)
			submit(1, { count: 1 })
			await fleet.advance(OBSERVED_TIME)
			expect(crashes).toHaveLength(CRASH_LIMIT)
			expect(await getState(createId(1))).toBe('failed')
			expect(fleet.journal.violations).toEqual([])
		}
	)

	it('is given up if it lasts', async () => {
		const { fleet, crashing, submit, getState, crashes } = await createCrashFleet({
			instances: 2,
			backends: 4,
		})
		crashing.add(`${createId(LASTING)}.0.0.1`)
		submit(LASTING, { count: 2, lasting: true })
		await fleet.advance(OBSERVED_TIME)
		expect(crashes).toHaveLength(CRASH_LIMIT)
		expect(await getState(createId(LASTING))).toBe('failed')
	})

	it('is given up if it belongs to a gang', async () => {
		const { fleet, crashing, submit, getState, crashes } = await createCrashFleet({
			instances: 2,
			backends: 4,
		})
		crashing.add(`${createId(1)}.0.0.2`)
		submit(1, { count: 4, gang: true })
		await fleet.advance(OBSERVED_TIME)
		expect(crashes.length).toBeLessThan(MAXIMUM_STARTS)
		expect(await getState(createId(1))).toBe('failed')
	})
})

// Guards against sound tasks that are given up because they were lost together with one that crashes servers.
describe('sound tasks beside tasks that crash servers', () => {
	it.each([1, 2, 4, 6])('are completed beside %i of them', async (count) => {
		const { fleet, crashing, submit, getState } = await createCrashFleet({
			instances: 2,
			backends: 6,
		})
		const jobs = Array.from({ length: 12 }, (_, index) => index + 1)
		for (const number of jobs) {
			if (number <= count) crashing.add(`${createId(number)}.0.0.${number % 4}`)
			submit(number, { count: 4 })
		}
		submit(LASTING, { count: 6, lasting: true, maximumPerBackend: 1 })
		await fleet.advance(OBSERVED_TIME)
		const states = await Promise.all(jobs.map((number) => getState(createId(number))))
		expect(states).toEqual(jobs.map((number) => (number <= count ? 'failed' : 'completed')))
		expect(await getState(createId(LASTING))).toBe('running')
		const starts = [...crashing].map((task) => fleet.journal.getRuns(task).length)
		expect(Math.max(...starts)).toBeLessThanOrEqual(MAXIMUM_STARTS)
		expect(fleet.journal.violations).toEqual([])
	})

	it('are completed in a stream of jobs that fills the servers', async () => {
		const { fleet, crashing, submit, getState } = await createCrashFleet({
			instances: 2,
			backends: 3,
		})
		const jobs = Array.from({ length: 40 }, (_, index) => index + 1)
		const crashingJobs = new Set([3, 9, 15])
		for (const number of jobs) {
			if (crashingJobs.has(number)) crashing.add(`${createId(number)}.0.0.0`)
			submit(number, { count: 12 })
			await fleet.advance(200)
		}
		await fleet.advance(OBSERVED_TIME)
		const states: string[] = []
		for (const number of jobs) states.push(await getState(createId(number)))
		expect(states).toEqual(
			jobs.map((number) => (crashingJobs.has(number) ? 'failed' : 'completed'))
		)
		const starts = [...crashing].map((task) => fleet.journal.getRuns(task).length)
		expect(Math.max(...starts)).toBeLessThanOrEqual(MAXIMUM_STARTS)
	})
})

// Guards against crashes under a task that are forgotten with the process that saw them.
describe('crashes under a task are known', () => {
	const DELAYS = [100, 1_000, 2_500, 3_300, 3_600]

	it.each(DELAYS)('after the owner is killed %i ms after each crash', async (delay) => {
		await expectGivenUp(delay, (fleet) => {
			fleet.restartInstance(fleet.instances.findIndex(({ daemon }) => daemon.isOwner))
		})
	})

	// The registration of the next process is known by then, and what runs there is not.
	it.each([3_200, 3_220, 3_240])(
		'after the owner is killed %i ms after each crash, and servers restart under their ids',
		async (delay) => {
			const restartOwner = (fleet: TestFleet): void => {
				fleet.restartInstance(fleet.instances.findIndex(({ daemon }) => daemon.isOwner))
			}
			await expectGivenUp(delay, restartOwner, 'same-id')
		}
	)

	it.each(DELAYS)('after all instances restart %i ms after each crash', async (delay) => {
		await expectGivenUp(delay, (fleet) => {
			for (const index of fleet.instances.keys()) fleet.restartInstance(index)
		})
	})

	it.each(DELAYS)('after the log is lost for 4 s, %i ms after each crash', async (delay) => {
		await expectGivenUp(delay, (fleet) => {
			for (const { log } of fleet.instances) {
				log.disconnected = true
				fleet.timers.after(4_000, () => (log.disconnected = false))
			}
		})
	})
})

// Guards against crashes that are not counted because the leases on a server expire before its machine runs
// another process, so that the cause of the loss is not known yet.
describe('crashes of servers that stay away for longer than leases last', () => {
	it.each([5_000, 8_000])('%i ms, are counted once they show', async (restartTime) => {
		const { fleet, crashing, crashes, submit, getState } = await createCrashFleet({
			instances: 2,
			backends: 6,
			restartTime,
		})
		crashing.add(`${createId(1)}.0.0.0`)
		for (const number of [1, 2, 3]) submit(number, { count: 3 })
		submit(LASTING, { count: 3, lasting: true, maximumPerBackend: 1 })
		await fleet.advance(OBSERVED_TIME)
		expect(await getState(createId(1))).toBe('failed')
		expect(await getState(createId(2))).toBe('completed')
		expect(await getState(createId(LASTING))).toBe('running')
		expect(crashes.length).toBeLessThanOrEqual(MAXIMUM_STARTS)
		expect(fleet.journal.violations).toEqual([])
	})

	it.each([4_600, 6_000, 7_000])(
		'are counted although the owner is killed every %i ms',
		async (interval) => {
			const { fleet, crashing, crashes, submit, getState } = await createCrashFleet({
				instances: 3,
				backends: 6,
				restartTime: 8_000,
			})
			crashing.add(`${createId(1)}.0.0.0`)
			for (const number of [1, 2]) submit(number, { count: 3 })
			for (let waited = 0; waited < 2 * OBSERVED_TIME; waited += interval) {
				await fleet.advance(interval)
				fleet.restartInstance(fleet.instances.findIndex(({ daemon }) => daemon.isOwner))
			}
			expect(await getState(createId(1))).toBe('failed')
			expect(await getState(createId(2))).toBe('completed')
			expect(crashes.length).toBeLessThanOrEqual(MAXIMUM_STARTS)
			expect(fleet.journal.violations).toEqual([])
		}
	)
})

/**
 * Runs a task that crashes servers beside sound ones, and disturbs the fleet some time after each crash.
 *
 * @param delay - milliseconds from a crash to the disturbance
 */
async function expectGivenUp(
	delay: number,
	disturb: (fleet: TestFleet) => void,
	restart?: 'same-id'
): Promise<void> {
	const { fleet, crashing, crashes, submit, getState } = await createCrashFleet({
		instances: 3,
		backends: 5,
		...(restart && { restart }),
	})
	crashing.add(`${createId(1)}.0.0.0`)
	submit(1, { count: 3 })
	submit(2, { count: 9 })
	let disturbed = 0
	for (let waited = 0; waited < OBSERVED_TIME; waited += 10) {
		await fleet.advance(10)
		const latest = crashes.at(-1)
		if (latest === undefined || disturbed === crashes.length) continue
		if (fleet.timers.now() - latest < delay) continue
		disturbed = crashes.length
		disturb(fleet)
	}
	expect(await getState(createId(1))).toBe('failed')
	expect(await getState(createId(2))).toBe('completed')
	expect(crashes.length).toBeLessThanOrEqual(MAXIMUM_STARTS)
	expect(fleet.journal.violations).toEqual([])
}

function createId(number: number): string {
	return number.toString(16).padStart(16, '0')
}
