import type { Job } from '@mastichead/core'
import { createTestJob } from '@mastichead/core'
import { describe, expect, it } from 'vitest'
import type { JobCaller } from '../callers/JobCaller.js'
import { JobRecords } from '../log/JobRecords.js'
import type { IntakeStream } from '../ports/IntakeStream.js'
import type { IntakeEntry } from './IntakeEntry.js'
import { IntakeRecords } from './IntakeRecords.js'
import { resolveIntake } from './resolveIntake.js'

const ID = '00000000000000a1'
const JOB = createTestJob(ID, [{ count: 1 }], 0)
const OTHER = { ...JOB, team: 'strangers' }
const queue = { name: JOB.queue, host: 'example', pathPrefix: '/quotes/', public: false }
const CALLER: JobCaller = { team: JOB.team, queue }
const STRANGER: JobCaller = { team: OTHER.team, queue }

describe('the job of an id', () => {
	it('is the first submission, in whatever order the records come', () => {
		for (const entries of permute([submit(JOB, 1), submit(OTHER, 2), submit(JOB, 3)]))
			expect(resolve(entries)).toEqual({ team: JOB.team, cancelled: false })
	})

	it('stays cancelled by its own team, and not by another', () => {
		for (const entries of permute([submit(JOB, 1), cancel(STRANGER, 2)]))
			expect(resolve(entries)).toEqual({ team: JOB.team, cancelled: false })
		for (const entries of permute([submit(JOB, 1), cancel(CALLER, 2), submit(OTHER, 3)]))
			expect(resolve(entries)).toEqual({ team: JOB.team, cancelled: true })
	})

	it('is not one that its own team cancelled before, but a later one of another team', () => {
		for (const entries of permute([cancel(CALLER, 1), submit(JOB, 2), submit(OTHER, 3)]))
			expect(resolve(entries)).toEqual({ team: OTHER.team, cancelled: false })
		for (const entries of permute([cancel(CALLER, 1), submit(JOB, 2)]))
			expect(resolve(entries)).toEqual({ team: undefined, cancelled: false })
	})

	it('is not changed by a cancellation through another queue of its team', () => {
		const other = { team: JOB.team, queue: { ...queue, name: 'drafts', pathPrefix: '/drafts/' } }
		expect(resolve([submit(JOB, 1), cancel(other, 2)])).toEqual({
			team: JOB.team,
			cancelled: false,
		})
	})

	// Guards against jobs of an earlier version that another team takes over during an upgrade.
	it('is the one that an earlier version accepted, in any stream', () => {
		for (const stream of ['intake/0', 'intake/5'] as const)
			for (const entries of permute([submit(OTHER, 1), submitEarlier(JOB, 9, stream)]))
				expect(resolve(entries)).toEqual({ team: JOB.team, cancelled: false })
	})

	it('is cancelled by a cancellation of either version, if an earlier version accepted it', () => {
		const earlier = submitEarlier(JOB, 9, 'intake/0')
		for (const cancelled of [cancelEarlier(1), cancelEarlier(1, JOB.team), cancel(CALLER, 1)])
			for (const entries of permute([earlier, cancelled]))
				expect(resolve(entries)).toEqual({ team: JOB.team, cancelled: true })
	})
})

// Guards against an entry that takes effect while the records before it are being deleted.
it('deletes the latest records first', () => {
	const entries = [cancel(CALLER, 1), submit(JOB, 2), submit(OTHER, 3)]
	const keys = IntakeRecords.createTombstones(entries).map(({ key }) => key)
	expect(keys).toEqual([...entries].reverse().map(({ key }) => key))
})

/** Returns whose job the id is, and whether it is cancelled. */
function resolve(entries: readonly IntakeEntry[]) {
	const { job, cancelled } = resolveIntake(entries)
	return { team: job?.team, cancelled }
}

function submit(job: Job, offset: number): IntakeEntry {
	const record = IntakeRecords.createCopy(IntakeRecords.createSubmission(job), `m1.${offset}`)
	return parse(record, offset, 'intake/3')
}

function cancel(caller: JobCaller, offset: number): IntakeEntry {
	const record = IntakeRecords.createCancellation(ID, caller)
	return parse(IntakeRecords.createCopy(record, `m1.${offset}`), offset, 'intake/3')
}

function submitEarlier(job: Job, offset: number, stream: IntakeStream): IntakeEntry {
	return parse(JobRecords.createJobRecord(job), offset, stream)
}

function cancelEarlier(offset: number, team?: string): IntakeEntry {
	return parse(JobRecords.createCancelRecord(ID, team), offset, 'intake/0')
}

function parse(
	record: { readonly key: string; readonly value: string | undefined },
	offset: number,
	stream: IntakeStream
): IntakeEntry {
	const key = IntakeRecords.parseKey(record.key)
	if (!key) throw new Error(`no key: ${record.key}`)
	return IntakeRecords.parse(key, { ...record, offset }, stream)
}

function permute<T>(values: readonly T[]): T[][] {
	if (values.length <= 1) return [[...values]]
	return values.flatMap((value, index) =>
		permute(values.toSpliced(index, 1)).map((rest) => [value, ...rest])
	)
}
