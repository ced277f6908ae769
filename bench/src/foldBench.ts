import {
	createFleetPatch,
	createFleetState,
	createSampleFleet,
	createSnapshotProposals,
	decodeSnapshot,
	encodeSnapshot,
	Fold,
	getFleet,
	hashState,
	parseProposal,
	type Fleet,
	type LogEntry,
	type Proposal,
} from '@mastichead/core'
import type { FoldBenchRow } from './FoldBenchRow.js'

/** Fleet sizes in eighths of the size to design for. */
const EIGHTHS = [1, 2, 4, 8]
const BACKEND_SERVERS = 6000
const POOLS = 211
const TEAMS = 350
const QUEUES = 422
const KEYS_PER_TEAM = 4
const MEMBERS = 72
const HEARTBEATS = 20_000
const REPEATS = 15

type Size = Pick<FoldBenchRow, 'backendServers' | 'pools' | 'teams'>

function getMedian(values: readonly number[]): number {
	const sorted = values.toSorted((a, b) => a - b)
	return sorted[Math.floor(sorted.length / 2)] ?? NaN
}

/** Median milliseconds of a call, after one that warms up. */
function measureTime(run: () => unknown, repeats = REPEATS): number {
	run()
	const times: number[] = []
	for (let index = 0; index < repeats; index++) {
		const start = performance.now()
		run()
		times.push(performance.now() - start)
	}
	return getMedian(times)
}

function createEntry(offset: number, record: string): LogEntry {
	return { offset, at: offset, proposal: parseProposal(record, offset) }
}

function take(fold: Fold, proposal: Proposal): string {
	const offset = fold.state.offset + 1
	return fold.apply(createEntry(offset, JSON.stringify(proposal)))?.type ?? 'none'
}

function createApply(from: Fleet, to: Fleet, base: number, id: string): Proposal {
	return { kind: 'apply', id, base, patch: createFleetPatch(from, to), operator: 'bench' }
}

function createFold(fleet: Fleet): Fold {
	const fold = new Fold()
	take(fold, createApply(getFleet(createFleetState()), fleet, 0, 'first'))
	for (let member = 0; member < MEMBERS; member++) {
		const instance = `entry-${member}`
		const id = `join-${member}`
		take(fold, { kind: 'join', id, instance, availabilityZone: 'zone-0', peerAddress: 'h:1' })
	}
	for (const { name } of fleet.teams) {
		for (let key = 0; key < KEYS_PER_TEAM; key++) {
			const id = `${name}-${key}`.padStart(16, '0')
			const hash = 'a'.repeat(64)
			take(fold, { kind: 'issue-key', id, key: id, team: name, hash, operator: 'bench' })
		}
	}
	return fold
}

/** The document with one team's limit and one backend server's slots changed. */
function changeFleet(fleet: Fleet, value: number): Fleet {
	const teams = fleet.teams.map((team, index) => (index === 0 ? { ...team, limit: value } : team))
	const backendServers = fleet.backendServers.map((server, index) =>
		index === 0 ? { ...server, slots: 1 + (value % 8) } : server
	)
	return { ...fleet, teams, backendServers }
}

function measureApply(fold: Fold, fleet: Fleet): { patch: number; apply: number; bytes: number } {
	let current = fleet
	let round = 0
	const times: number[] = []
	let bytes = 0
	const patch = measureTime(() => createFleetPatch(current, changeFleet(current, 7)))
	for (; round < REPEATS; round++) {
		const next = changeFleet(current, 101 + round)
		const proposal = createApply(current, next, fold.state.version, `apply-${round}`)
		const record = JSON.stringify(proposal)
		const start = performance.now()
		fold.apply(createEntry(fold.state.offset + 1, record))
		times.push(performance.now() - start)
		bytes = record.length
		current = next
	}
	return { patch, apply: getMedian(times), bytes }
}

/** Microseconds for reading and folding one heartbeat. */
function measureHeartbeat(fold: Fold): number {
	const records = Array.from({ length: HEARTBEATS }, (_, index) =>
		JSON.stringify({ kind: 'heartbeat', id: `beat-${index}`, instance: `entry-${index % MEMBERS}` })
	)
	const start = performance.now()
	for (const record of records) fold.apply(createEntry(fold.state.offset + 1, record))
	return ((performance.now() - start) * 1000) / HEARTBEATS
}

/** Heap bytes that decoding a state takes; needs `--expose-gc` to be exact. */
function measureHeap(fold: Fold): number {
	const snapshot = encodeSnapshot(fold.state)
	const collect = globalThis.gc
	collect?.()
	const before = process.memoryUsage().heapUsed
	const decoding = decodeSnapshot(snapshot)
	collect?.()
	const bytes = process.memoryUsage().heapUsed - before
	return decoding.type === 'decoded' ? bytes : NaN
}

function measureSize(eighths: number): FoldBenchRow[] {
	const scale = (count: number) => Math.ceil((count * eighths) / 8)
	const size: Size = {
		backendServers: scale(BACKEND_SERVERS),
		pools: scale(POOLS),
		teams: scale(TEAMS),
	}
	const fleet = createSampleFleet({ ...size, zones: 9, queues: scale(QUEUES) })
	const fold = createFold(fleet)
	const rows: FoldBenchRow[] = []
	const add = (measure: string, value: number, unit: string) => {
		rows.push({ measure, ...size, value, unit })
	}
	const { patch, apply, bytes } = measureApply(fold, fleet)
	add('patch-create', patch, 'ms')
	add('apply-fold', apply, 'ms')
	add('patch-record', bytes, 'bytes')
	add('document', JSON.stringify(fleet).length, 'bytes')
	add('heartbeat-fold', measureHeartbeat(fold), 'us')
	add('state-heap', measureHeap(fold), 'bytes')
	addSnapshot(fold, add)
	return rows
}

function addSnapshot(
	fold: Fold,
	add: (measure: string, value: number, unit: string) => void
): void {
	const snapshot = encodeSnapshot(fold.state)
	const records = createSnapshotProposals(snapshot, 'snapshot').map((part) => JSON.stringify(part))
	add(
		'snapshot-encode',
		measureTime(() => encodeSnapshot(fold.state)),
		'ms'
	)
	add(
		'snapshot-hash',
		measureTime(() => hashState(fold.state)),
		'ms'
	)
	add(
		'snapshot-decode',
		measureTime(() => decodeSnapshot(snapshot)),
		'ms'
	)
	add('snapshot-records', records.length, 'records')
	add('snapshot-appended', records.join('').length, 'bytes')
}

/**
 * Measures the fold at four sizes up to 6,000 backend servers, 211 pools, 422 queues and 350
 * teams: time to fold an apply and a heartbeat, sizes of records, state and snapshots. Runs for
 * some seconds on the calling thread.
 *
 * @public
 */
export function foldBench(): readonly FoldBenchRow[] {
	return EIGHTHS.flatMap(measureSize)
}
