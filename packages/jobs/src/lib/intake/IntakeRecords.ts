import type { Job, JobId } from '@mastichead/core'
import type { JobCaller } from '../callers/JobCaller.js'
import { JobRecords } from '../log/JobRecords.js'
import type { LogEntry } from '../ports/LogEntry.js'
import type { LogRecord } from '../ports/LogRecord.js'
import type { IntakeStream } from '../ports/IntakeStream.js'
import type { CancellationScope } from './CancellationScope.js'
import type { IntakeEntry } from './IntakeEntry.js'
import type { IntakeRecord } from './IntakeRecord.js'

const SUBMISSION_PREFIX = 'submission/'
const CANCELLATION_PREFIX = 'cancellation/'
/** Stands between a job's id, which does not contain it, and the name of a copy. */
const COPY_SEPARATOR = '/'

interface IntakeKey {
	readonly id: JobId
	readonly kind: IntakeEntry['kind']
	readonly isEarlierForm: boolean
	/** Team that a cancellation of an earlier version names, if any. */
	readonly team?: string | undefined
}

/**
 * Creates and parses the records of callers in the intake streams.
 *
 * @public
 */
export const IntakeRecords = {
	createSubmission(job: Job): IntakeRecord {
		const { id } = job
		const keyPrefix = SUBMISSION_PREFIX + id
		const identity = keyPrefix + JSON.stringify({ ...job, acceptedAt: 0, acceptedRules: undefined })
		return { id, keyPrefix, value: JSON.stringify(job), identity }
	},

	/**
	 * @param caller - whose jobs it ends; undefined for everyone's
	 */
	createCancellation(id: JobId, caller?: JobCaller): IntakeRecord {
		const keyPrefix = CANCELLATION_PREFIX + id
		const value = JSON.stringify({ caller: caller && copyCaller(caller) })
		return { id, keyPrefix, value, identity: keyPrefix + value }
	},

	/**
	 * @param name - unique for each append of all instances
	 */
	createCopy({ keyPrefix, value }: IntakeRecord, name: string): LogRecord {
		return { key: keyPrefix + COPY_SEPARATOR + name, value }
	},

	/** Parses a key; undefined if it has no known form. */
	parseKey(key: string): IntakeKey | undefined {
		const submitted = parseCopyKey(key, SUBMISSION_PREFIX)
		if (submitted !== undefined) return { id: submitted, kind: 'submission', isEarlierForm: false }
		const cancelled = parseCopyKey(key, CANCELLATION_PREFIX)
		if (cancelled !== undefined)
			return { id: cancelled, kind: 'cancellation', isEarlierForm: false }
		const earlier = JobRecords.parseIntakeKey(key)
		if (!earlier) return undefined
		const { id, team } = earlier
		const kind = earlier.kind === 'job' ? 'submission' : 'cancellation'
		return { id, kind, team, isEarlierForm: true }
	},

	/** Throws if the value is not what the key says. */
	parse({ id, kind, isEarlierForm, team }: IntakeKey, entry: LogEntry, stream: IntakeStream) {
		const { key, offset, value = '' } = entry
		const position = { id, key, stream, offset, isEarlierForm }
		if (kind === 'submission') return { ...position, kind, job: JobRecords.parseJob(value) }
		const scope = isEarlierForm ? createEarlierScope(team) : parseScope(value)
		return { ...position, kind, scope }
	},

	/**
	 * Creates the records that delete all entries of an id. In each stream the latest goes first, so that no
	 * entry takes effect through the deletion of one before it.
	 */
	createTombstones(entries: readonly IntakeEntry[]): LogRecord[] {
		const latestFirst = [...entries].sort((a, b) => b.offset - a.offset)
		return latestFirst.map(({ key }) => ({ key, value: undefined }))
	},
} as const

function parseCopyKey(key: string, prefix: string): JobId | undefined {
	if (!key.startsWith(prefix)) return undefined
	const end = key.indexOf(COPY_SEPARATOR, prefix.length)
	return end < 0 ? undefined : key.slice(prefix.length, end)
}

/** Returns the fields that decide whose jobs are meant, and no others. */
function copyCaller({ team, queue }: JobCaller): JobCaller {
	const { name, host, pathPrefix } = queue
	return { team, queue: { name, host, pathPrefix, public: queue.public } }
}

function createEarlierScope(team: string | undefined): CancellationScope {
	return team === undefined ? { kind: 'everyone' } : { kind: 'team', team }
}

function parseScope(value: string): CancellationScope {
	const parsed = JSON.parse(value) as { readonly caller?: Partial<JobCaller> } | null
	if (parsed === null || typeof parsed !== 'object' || Array.isArray(parsed))
		throw new Error('cancellation is no object')
	const { caller } = parsed
	if (caller === undefined) return { kind: 'everyone' }
	const { team, queue } = caller
	if (typeof team !== 'string' || typeof queue?.name !== 'string')
		throw new Error('cancellation has no team or queue')
	return { kind: 'caller', caller: { team, queue } }
}
