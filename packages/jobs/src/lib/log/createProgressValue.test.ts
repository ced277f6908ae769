import type { JobSnapshot } from '@mastichead/core'
import { expect, it } from 'vitest'
import { createProgressValue } from './createProgressValue.js'
import { parseProgressValue } from './parseProgressValue.js'

const TASK = {
	place: 0,
	phase: 'placed',
	attempt: 1,
	failures: 0,
	crashes: 0,
	isSuspected: false,
	backend: 'i-0153d30715',
	checkpoint: '',
} as const

const LOSS = { machine: 'm-1', incarnation: 1_700_000_000_001, suspicion: 'shared' } as const

it('names tasks by ranges and leaves out defaults', () => {
	const value = createProgressValue({
		state: 'running',
		begun: true,
		finishedAt: undefined,
		tasks: [
			...[0, 1, 2, 5].map((place) => ({ ...TASK, place })),
			...[3, 4].map((place) => ({ ...TASK, place, phase: 'done' as const, backend: undefined })),
		],
	})
	expect(value).toBe(
		'{"format":2,"state":"running","begun":true,"done":"3-4","placed":{"i-0153d30715":"0-2,5"}}'
	)
})

it('keeps every field of every task', () => {
	const pending = { ...TASK, phase: 'pending' as const, backend: undefined }
	const snapshot: JobSnapshot = {
		state: 'failed',
		begun: true,
		finishedAt: 1_700_000_000_123,
		tasks: [
			{ ...TASK, attempt: 3, failures: 2, checkpoint: 'p "7",\n1-2' },
			{ ...TASK, place: 1, backend: 'i-2', unexplainedLoss: LOSS },
			{ ...TASK, place: 2, backend: undefined, unexplainedLoss: LOSS },
			{ ...pending, place: 4, attempt: 2, failures: 1, checkpoint: '__proto__' },
			{ ...pending, place: 5, attempt: 2, crashes: 1, isSuspected: true, checkpoint: '12' },
			{ ...pending, place: 6, phase: 'done' },
			{ ...pending, place: 7, unexplainedLoss: { ...LOSS, suspicion: 'sole' } },
			{ ...pending, place: 8, phase: 'failed', failures: 4, crashes: 2, attempt: 4 },
			{ ...pending, place: 100, phase: 'dropped', attempt: 0 },
		],
	}
	expect(parseProgressValue(createProgressValue(snapshot))).toEqual(snapshot)
})

// Guards against a limit that is not kept because a new owner reads another team, task or need from a record.
it('keeps what each placed task uses, whatever its step and occurrence', () => {
	const use = { team: 'installers', needs: { cpu: 880, memory: 256, gpu: 1 }, fills: false }
	const other = { team: 'installers', needs: { cpu: 0, memory: 0, gpu: 0 }, fills: true }
	const snapshot: JobSnapshot = {
		state: 'running',
		begun: true,
		finishedAt: undefined,
		tasks: [
			{ ...TASK, place: 0, use: { ...use, occurrence: 0, stepNumber: 0, index: 0 } },
			{ ...TASK, place: 5, use: { ...use, occurrence: 0, stepNumber: 0, index: 5 } },
			{ ...TASK, place: 9, use: { ...other, occurrence: 0, stepNumber: 2, index: 1 } },
			{ ...TASK, place: 13, use: { ...use, occurrence: 1, stepNumber: 0, index: 3 } },
		],
	}
	expect(parseProgressValue(createProgressValue(snapshot))).toEqual(snapshot)
})

// Guards against an instance that misreads the records of an earlier version during a rolling update.
it('reads the form of earlier versions', () => {
	const snapshot: JobSnapshot = {
		state: 'running',
		begun: true,
		finishedAt: undefined,
		tasks: [TASK, { ...TASK, place: 7 }],
	}
	const isKnown = (key: string): boolean => key !== 'crashes' && key !== 'isSuspected'
	const value = JSON.stringify(snapshot, (key, field: unknown) =>
		isKnown(key) ? field : undefined
	)
	expect(value).not.toContain('crashes')
	expect(parseProgressValue(value)).toEqual(snapshot)
})

// Guards against an instance of an earlier version that takes over from a later one during a rolling
// update and starts tasks a second time, because it takes the job for one without progress.
it('shows the state, but no list of tasks, to a reader of the earlier form', () => {
	const snapshot: JobSnapshot = {
		state: 'running',
		begun: true,
		finishedAt: undefined,
		tasks: [TASK],
	}
	const read = JSON.parse(createProgressValue(snapshot)) as JobSnapshot
	expect(read).toMatchObject({ state: 'running', begun: true })
	expect(read.tasks).toBeUndefined()
})

it.each([
	'',
	'[]',
	'{"state":"running"}',
	'{"format":3,"state":"running","begun":true}',
	'{"format":2,"state":"running","begun":true,"done":"4-2"}',
	'{"format":2,"state":"running","begun":true,"done":"0-99999999"}',
	'{"format":2,"state":"running","begun":true,"done":"x"}',
])('refuses %s', (value) => {
	expect(() => parseProgressValue(value)).toThrow()
})
