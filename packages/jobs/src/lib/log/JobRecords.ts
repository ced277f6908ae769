import type { BackendId, Job, JobId, JobSnapshot } from '@mastichead/core'
import type { MachineOrder } from '../machines/MachineOrder.js'
import type { WaveProgress } from '../machines/WaveProgress.js'
import type { BackendRegistration } from '../ports/BackendRegistration.js'
import type { LogRecord } from '../ports/LogRecord.js'
import type { LeaseRecord } from './LeaseRecord.js'
import type { OwnerHeartbeat } from './OwnerHeartbeat.js'
import { createProgressValue } from './createProgressValue.js'
import { parseProgressValue } from './parseProgressValue.js'

const JOB_PREFIX = 'job/'
const CANCEL_PREFIX = 'cancel/'
const WAVE_PREFIX = 'wave/'
const BACKEND_PREFIX = 'backend/'
const MACHINE_PREFIX = 'machine/'
const LEASE_PREFIX = 'lease/'
const TERM_PREFIX = 'term/'
const OWNER_KEY = 'owner/heartbeat'
/** Stands between a job's id, which does not contain it, and a team's name. */
const TEAM_SEPARATOR = '/'

interface IntakeKey {
	readonly kind: 'job' | 'cancel'
	readonly id: JobId
	/** Team whose submissions a cancellation binds; undefined if the job was known to the caller's team. */
	readonly team?: string
}

/**
 * Creates and parses the records that the instances write to the log.
 *
 * @public
 */
export const JobRecords = {
	createJobRecord(job: Job): LogRecord {
		return { key: JOB_PREFIX + job.id, value: JSON.stringify(job) }
	},

	/**
	 * @param team - team whose submissions it binds if the job is not known; undefined if it is known
	 */
	createCancelRecord(id: JobId, team?: string): LogRecord {
		return { key: getCancelKey(id, team), value: '{}' }
	},

	createProgressRecord(id: JobId, snapshot: JobSnapshot): LogRecord {
		return { key: id, value: createProgressValue(snapshot) }
	},

	createWaveProgressRecord(key: string, progress: WaveProgress): LogRecord {
		return { key, value: JSON.stringify(progress) }
	},

	/** Whether a progress record with this key belongs to a maintenance wave. */
	isWaveKey(key: string): boolean {
		return key.startsWith(WAVE_PREFIX)
	},

	parseWaveProgress(value: string): WaveProgress {
		return JSON.parse(value) as WaveProgress
	},

	/** Creates a record with a copy of a registration, for an owner that cannot read the registry. */
	createBackendRecord(registration: BackendRegistration): LogRecord {
		return { key: BACKEND_PREFIX + registration.id, value: JSON.stringify(registration) }
	},

	createBackendTombstone(id: BackendId): LogRecord {
		return { key: BACKEND_PREFIX + id, value: undefined }
	},

	getMachineKey(machine: string): string {
		return MACHINE_PREFIX + machine
	},

	createMachineOrderRecord(machine: string, order: MachineOrder): LogRecord {
		return { key: MACHINE_PREFIX + machine, value: JSON.stringify(order) }
	},

	/** Returns the id of the machine that a progress record belongs to, if any. */
	parseMachineKey(key: string): string | undefined {
		return key.startsWith(MACHINE_PREFIX) ? key.slice(MACHINE_PREFIX.length) : undefined
	},

	parseMachineOrder(value: string): MachineOrder {
		return JSON.parse(value) as MachineOrder
	},

	/** Key of the record that an owner writes at intervals, so that others see that there is one. */
	ownerKey: OWNER_KEY,

	/**
	 * @param heartbeat.token - fencing token of the owner's term
	 * @param heartbeat.writtenAt - milliseconds since 1970
	 */
	createOwnerRecord(heartbeat: { readonly token: number; readonly writtenAt: number }): LogRecord {
		return { key: OWNER_KEY, value: JSON.stringify({ ...heartbeat, isTermRecorded: true }) }
	},

	/** Throws if the value is not a heartbeat. */
	parseOwner(value: string): OwnerHeartbeat {
		const heartbeat = JSON.parse(value) as Partial<OwnerHeartbeat> | null
		if (typeof heartbeat?.token !== 'number') throw new Error('heartbeat has no token')
		return { token: heartbeat.token, isTermRecorded: heartbeat.isTermRecorded === true }
	},

	getTermKey(token: number): string {
		return TERM_PREFIX + String(token)
	},

	/** Creates the record of a term of ownership, which is deleted once nothing is sent in it any more. */
	createTermRecord(token: number, instance: string): LogRecord {
		return { key: JobRecords.getTermKey(token), value: JSON.stringify({ instance }) }
	},

	createTermTombstone(token: number): LogRecord {
		return { key: JobRecords.getTermKey(token), value: undefined }
	},

	/** Returns the fencing token of the term that a progress record belongs to, if any. */
	parseTermKey(key: string): number | undefined {
		if (!key.startsWith(TERM_PREFIX)) return undefined
		const token = Number(key.slice(TERM_PREFIX.length))
		return Number.isSafeInteger(token) ? token : undefined
	},

	/** Returns the instance that holds a term. Throws if the value names none. */
	parseTerm(value: string): string {
		const term = JSON.parse(value) as { readonly instance?: unknown } | null
		if (typeof term?.instance !== 'string') throw new Error('term has no instance')
		return term.instance
	},

	getLeaseKey(id: BackendId): string {
		return LEASE_PREFIX + id
	},

	createLeaseRecord(id: BackendId, lease: LeaseRecord): LogRecord {
		return { key: JobRecords.getLeaseKey(id), value: JSON.stringify(lease) }
	},

	createLeaseTombstone(id: BackendId): LogRecord {
		return { key: JobRecords.getLeaseKey(id), value: undefined }
	},

	/** Returns the id of the backend server whose leases a progress record describes, if any. */
	parseLeaseKey(key: string): BackendId | undefined {
		return key.startsWith(LEASE_PREFIX) ? key.slice(LEASE_PREFIX.length) : undefined
	},

	/** Throws if the value does not describe leases. */
	parseLease(value: string): LeaseRecord {
		const lease = JSON.parse(value) as Partial<LeaseRecord> | null
		if (typeof lease?.renewed !== 'boolean') throw new Error('lease record lacks renewed')
		if (typeof lease.remaining !== 'number') throw new Error('lease record lacks remaining')
		return { renewed: lease.renewed, remaining: lease.remaining }
	},

	/** Returns the id of the backend server that a progress record belongs to, if any. */
	parseBackendKey(key: string): BackendId | undefined {
		return key.startsWith(BACKEND_PREFIX) ? key.slice(BACKEND_PREFIX.length) : undefined
	},

	parseBackend(value: string): BackendRegistration {
		return JSON.parse(value) as BackendRegistration
	},

	/** Creates the records that delete everything that callers wrote about a job. */
	createIntakeTombstones(id: JobId, barredTeams: Iterable<string>): LogRecord[] {
		const cancelKeys = [undefined, ...barredTeams].map((team) => getCancelKey(id, team))
		return [JOB_PREFIX + id, ...cancelKeys].map((key) => ({ key, value: undefined }))
	},

	/** Parses the key of an intake record; undefined if it has no known form. */
	parseIntakeKey(key: string): IntakeKey | undefined {
		if (key.startsWith(JOB_PREFIX)) return { kind: 'job', id: key.slice(JOB_PREFIX.length) }
		if (!key.startsWith(CANCEL_PREFIX)) return undefined
		const target = key.slice(CANCEL_PREFIX.length)
		const idEnd = target.indexOf(TEAM_SEPARATOR)
		if (idEnd < 0) return { kind: 'cancel', id: target }
		return { kind: 'cancel', id: target.slice(0, idEnd), team: target.slice(idEnd + 1) }
	},

	/** Throws if the value is not a job. */
	parseJob(value: string): Job {
		const job = JSON.parse(value) as Partial<Job> | null
		const isJob = typeof job?.id === 'string' && typeof job.queue === 'string'
		if (!isJob || !Array.isArray(job.steps)) throw new Error('job has no id, queue or steps')
		return job as Job
	},

	parseProgress(value: string): JobSnapshot {
		return parseProgressValue(value)
	},
} as const

function getCancelKey(id: JobId, team: string | undefined): string {
	return CANCEL_PREFIX + id + (team === undefined ? '' : TEAM_SEPARATOR + team)
}
