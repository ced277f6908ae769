import type { RunEvent } from '@mastichead/standins'
import { describe, expect, it } from 'vitest'
import type { JobRecord } from './JobRecord.js'
import type { SoakRecord } from './SoakRecord.js'
import { checkRecord } from './checkRecord.js'

const TASK = 'aa.0.0.0'

describe('checkRecord', () => {
	it('finds nothing in a record that keeps the promises', () => {
		expect(checkRecord(createRecord({}))).toEqual([])
	})

	// Guards against a run that counts as open for ever, because it was lost in the millisecond in which it began.
	it('finds nothing if a run ends at the time of its start and another begins later', () => {
		const runs = [
			event('started', 1, 0),
			event('ended', 1, 0, 'lost'),
			...[
				event('started', 2, 100),
				event('ended', 2, 500, 'done'),
				event('acknowledged', 2, 550, 'done'),
			],
		]
		expect(checkRecord(createRecord({ runs }))).toEqual([])
	})

	// An end of another run at the time of a start comes before it.
	it('finds nothing if a run begins at the time at which another ends', () => {
		const runs = [
			event('started', 1, 0),
			event('started', 2, 100),
			event('ended', 1, 100, 'lost'),
			...[event('ended', 2, 500, 'done'), event('acknowledged', 2, 550, 'done')],
		]
		expect(checkRecord(createRecord({ runs }))).toEqual([])
	})

	// Each case is a mistake that the check must find.
	const mistakes: Readonly<Record<string, Partial<SoakRecord>>> = {
		'two runs of a task at the same time': {
			runs: [event('started', 1, 0), event('started', 2, 50), ...createRuns()],
		},
		'a run that begins at the time of another one, which has not ended': {
			runs: [event('started', 1, 0), event('started', 2, 0), ...createRuns()],
		},
		'a run that begins and ends while another one runs': {
			runs: [event('started', 1, 0), event('started', 2, 50), event('ended', 2, 50, 'lost')],
		},
		'a run after the end was acknowledged': {
			runs: [...createRuns(), event('started', 2, 900), event('ended', 2, 1_000, 'done')],
		},
		'a run after an end that is acknowledged later': {
			runs: [
				event('started', 1, 0),
				event('ended', 1, 100, 'done'),
				event('started', 2, 200),
				event('ended', 2, 300, 'done'),
				event('acknowledged', 1, 400, 'done'),
			],
		},
		'an accepted job that is not known at the end': { jobs: [createJob({ state: undefined })] },
		'an accepted job that never ends': { jobs: [createJob({ state: 'running' })] },
		'a sound job that is given up after one crash': {
			jobs: [createJob({ state: 'failed', completedAt: undefined })],
			runs: createCrashes(1),
		},
		'a task that crashes servers and is started again and again': {
			jobs: [createJob({ state: 'failed', crashing: true, completedAt: undefined })],
			runs: createCrashes(6),
		},
		'a job that is cancelled without a reason': { jobs: [createJob({ state: 'cancelled' })] },
		'a cancelled job with a task that still runs': {
			jobs: [createJob({ state: 'cancelled', cancelledAt: 50, completedAt: undefined })],
			runs: [event('started', 1, 0)],
		},
		'a job that is shown as completed too early': { jobs: [createJob({ completedAt: 50 })] },
		'a refused job that ran': {
			jobs: [createJob({ acceptedAt: undefined, refused: true, completedAt: undefined })],
		},
		'more running than the limit': {
			cpuLimit: 1_000,
			runs: [1, 2, 3, 4, 5].map((number) => ({ ...event('started', 1, 0), task: `t${number}` })),
		},
		'a lasting task that stands after its server was lost': {
			jobs: [createLastingJob({})],
			runs: [
				event('started', 1, 0),
				event('ended', 1, 1_000, 'lapsed'),
				event('started', 2, 10_100),
			],
			faults: [{ from: 1_000, to: 1_000 }],
		},
		'a lasting task that never runs': { jobs: [createLastingJob({})], runs: [] },
		'an answer after the timeout': { calls: [createCall({ endedAt: 4_000 })] },
		'a withdrawn key in force': {
			calls: [createCall({ sentAt: 9_000, endedAt: 9_010 })],
			withdrawals: [{ key: 'key-1', at: 1_000 }],
		},
	}
	it.each(Object.entries(mistakes))('finds %s', (_name, change) => {
		expect(checkRecord(createRecord(change))).not.toEqual([])
	})

	it('allows another run after an end whose server had lost its lease before the acknowledgement', () => {
		const acknowledged = { ...event('acknowledged', 1, 400, 'done'), leaseLapsed: true }
		const runs = [
			event('started', 1, 0),
			event('ended', 1, 100, 'done'),
			event('started', 2, 200),
			event('ended', 2, 300, 'done'),
			acknowledged,
		]
		expect(checkRecord(createRecord({ runs }))).toEqual([])
	})

	it('allows that a job is given up once two servers have crashed under its task', () => {
		const jobs = [createJob({ state: 'failed', completedAt: undefined })]
		expect(checkRecord(createRecord({ jobs, runs: createCrashes(2) }))).toEqual([])
	})

	const lost = [event('started', 1, 0), event('ended', 1, 1_000, 'lapsed')]
	const startAgain = (at: number) => [event('started', 2, at), event('ended', 2, 50_000, 'stopped')]
	const allowed: Readonly<Record<string, Partial<SoakRecord>>> = {
		'stands for 9 s': { runs: [...lost, ...startAgain(10_000)] },
		'stands while faults are active or have just been': {
			runs: [...lost, ...startAgain(30_000)],
			faults: [10, 16, 22, 24].map((second) => ({ from: second * 1_000, to: second * 1_000 })),
		},
		'stands while its team uses half of its limit': {
			runs: [...lost, { ...event('started', 1, 500), task: 'bb.0.0.0' }],
			cpuLimit: 1_000,
		},
		'has been cancelled': { jobs: [createLastingJob({ cancelSentAt: 9_000 })], runs: lost },
	}
	it.each(Object.entries(allowed))('allows that a lasting task %s', (_name, change) => {
		expect(checkRecord(createRecord({ jobs: [createLastingJob({})], ...change }))).toEqual([])
	})

	it('does not hold a call to an instance that was paused against it', () => {
		const calls = [createCall({ endedAt: 4_000 })]
		const disturbances = [{ instance: 0, from: 1_000, to: 3_500 }]
		expect(checkRecord(createRecord({ calls, disturbances }))).toEqual([])
	})
})

/** Creates runs of the task that each end with a crash of their server. */
function createCrashes(count: number): RunEvent[] {
	return Array.from({ length: count }, (_, index) => [
		event('started', index + 1, index * 1_000),
		event('ended', index + 1, index * 1_000 + 10, 'lost'),
	]).flat()
}

function createRecord(change: Partial<SoakRecord>): SoakRecord {
	return {
		jobs: [createJob({})],
		calls: [createCall({})],
		runs: createRuns(),
		faults: [],
		disturbances: [],
		withdrawals: [],
		taskCpu: 500,
		cpuLimit: 0,
		...change,
	}
}

function createJob(change: Partial<JobRecord>): JobRecord {
	return {
		id: 'aa',
		tasks: 1,
		acceptedAt: 10,
		lasting: false,
		crashing: false,
		refused: false,
		cancelSentAt: undefined,
		cancelledAt: undefined,
		completedAt: 500,
		state: 'completed',
		...change,
	}
}

function createLastingJob(change: Partial<JobRecord>): JobRecord {
	const cancelled = { state: 'cancelled', cancelSentAt: 50_000, cancelledAt: 50_000 }
	return createJob({ lasting: true, completedAt: undefined, ...cancelled, ...change })
}

function createCall(change: object) {
	const call = { method: 'GET', instance: 0, key: 'key-1', sentAt: 0, endedAt: 20, status: 200 }
	return { ...call, ...change }
}

function createRuns(): RunEvent[] {
	return [
		event('started', 1, 0),
		event('ended', 1, 400, 'done'),
		event('acknowledged', 1, 450, 'done'),
	]
}

function event(kind: RunEvent['kind'], attempt: number, at: number, ending = ''): RunEvent {
	return { kind, task: TASK, attempt, ending, leaseLapsed: false, at }
}
