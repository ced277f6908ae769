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

/** Fleet sizes in eighths of the target size, which the next constants give. */
const SIZE_EIGHTHS = [1, 2, 4, 8]
const BACKEND_SERVERS = 6000
const POOLS = 211
const TEAMS = 350
const QUEUES = 422
const KEYS_PER_TEAM = 4
const MEMBERS = 72
const HEARTBEAT_COUNT = 20_000
const REPEATS = 15

type Size = Pick<FoldBenchRow, 'backendServers' | 'pools' | 'teams'>

function getMedian(values: readonly number[]): number {
	const sorted = values.toSorted((a, b) => a - b)
	return sorted[Math.floor(sorted.length / 2)] ?? NaN
}

/** Returns the median duration of a call in milliseconds, after one warm-up call. */
function measureMedianMilliseconds(run: () => unknown, repeats = REPEATS): number {
	run()
	const times: number[] = []
	for (let index = 0; index < repeats; index++) {
		const start = performance.now()
		run()
		times.push(performance.now() - start)
	}
	return getMedian(times)
}

function parseEntry(offset: number, record: string): LogEntry {
	return { offset, at: offset, proposal: parseProposal(record, offset) }
}

function appendProposal(fold: Fold, proposal: Proposal): string {
	const offset = fold.state.offset + 1
	return fold.apply(parseEntry(offset, JSON.stringify(proposal)))?.type ?? 'none'
}

function createApplyProposal(from: Fleet, to: Fleet, base: number, id: string): Proposal {
	return { kind: 'apply', id, base, patch: createFleetPatch(from, to), operator: 'bench' }
}

function createFold(fleet: Fleet): Fold {
	const fold = new Fold()
	appendProposal(fold, createApplyProposal(getFleet(createFleetState()), fleet, 0, 'first'))
	for (let member = 0; member < MEMBERS; member++) {
		const instance = `entry-${member}`
		const id = `join-${member}`
		appendProposal(fold, {
			kind: 'join',
			id,
			instance,
			availabilityZone: 'zone-0',
			peerAddress: 'h:1',
		})
	}
	for (const { name } of fleet.teams) {
		for (let key = 0; key < KEYS_PER_TEAM; key++) {
			const id = `${name}-${key}`.padStart(16, '0')
			const hash = 'a'.repeat(64)
			appendProposal(fold, { kind: 'issue-key', id, key: id, team: name, hash, operator: 'bench' })
		}
	}
	return fold
}

/** Changes one team's limit and one backend server's slots. */
function changeFleet(fleet: Fleet, value: number): Fleet {
	const teams = fleet.teams.map((team, index) => (index === 0 ? { ...team, limit: value } : team))
	const backendServers = fleet.backendServers.map((server, index) =>
		index === 0 ? { ...server, slots: 1 + (value % 8) } : server
	)
	return { ...fleet, teams, backendServers }
}

/** Measures patches that change two rows: times in milliseconds, and the size of their record. */
function measureApply(fold: Fold, fleet: Fleet): { patch: number; apply: number; bytes: number } {
	let current = fleet
	let round = 0
	const times: number[] = []
	let bytes = 0
	const patch = measureMedianMilliseconds(() => createFleetPatch(current, changeFleet(current, 7)))
	for (; round < REPEATS; round++) {
		const next = changeFleet(current, 101 + round)
		const proposal = createApplyProposal(current, next, fold.state.version, `apply-${round}`)
		const record = JSON.stringify(proposal)
		const start = performance.now()
		fold.apply(parseEntry(fold.state.offset + 1, record))
		times.push(performance.now() - start)
		bytes = record.length
		current = next
	}
	return { patch, apply: getMedian(times), bytes }
}

/** Returns the microseconds that parsing and folding one heartbeat takes. */
function measureHeartbeatMicroseconds(fold: Fold): number {
	const records = Array.from({ length: HEARTBEAT_COUNT }, (_, index) =>
		JSON.stringify({ kind: 'heartbeat', id: `beat-${index}`, instance: `entry-${index % MEMBERS}` })
	)
	const start = performance.now()
	for (const record of records) fold.apply(parseEntry(fold.state.offset + 1, record))
	return ((performance.now() - start) * 1000) / HEARTBEAT_COUNT
}

/** Returns the heap bytes of a decoded state. Exact only with `--expose-gc`. */
function measureHeapBytes(fold: Fold): number {
	const snapshot = encodeSnapshot(fold.state)
	const collectGarbage = globalThis.gc
	collectGarbage?.()
	const before = process.memoryUsage().heapUsed
	const result = decodeSnapshot(snapshot)
	collectGarbage?.()
	const bytes = process.memoryUsage().heapUsed - before
	return result.type === 'decoded' ? bytes : NaN
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
	const addRow = (measure: string, value: number, unit: string) => {
		rows.push({ measure, ...size, value, unit })
	}
	const { patch, apply, bytes } = measureApply(fold, fleet)
	addRow('patch-create', patch, 'ms')
	addRow('apply-fold', apply, 'ms')
	addRow('patch-record', bytes, 'bytes')
	addRow('document', JSON.stringify(fleet).length, 'bytes')
	addRow('heartbeat-fold', measureHeartbeatMicroseconds(fold), 'us')
	addRow('state-heap', measureHeapBytes(fold), 'bytes')
	addSnapshotRows(fold, addRow)
	return rows
}

function addSnapshotRows(
	fold: Fold,
	addRow: (measure: string, value: number, unit: string) => void
): void {
	const snapshot = encodeSnapshot(fold.state)
	const records = createSnapshotProposals(snapshot, 'snapshot').map((part) => JSON.stringify(part))
	addRow(
		'snapshot-encode',
		measureMedianMilliseconds(() => encodeSnapshot(fold.state)),
		'ms'
	)
	addRow(
		'snapshot-hash',
		measureMedianMilliseconds(() => hashState(fold.state)),
		'ms'
	)
	addRow(
		'snapshot-decode',
		measureMedianMilliseconds(() => decodeSnapshot(snapshot)),
		'ms'
	)
	addRow('snapshot-records', records.length, 'records')
	addRow('snapshot-appended', records.join('').length, 'bytes')
}

/**
 * Measures the fold at four fleet sizes, up to 6,000 backend servers, 211 pools, 422 queues and 350
 * teams: the time to fold an apply and a heartbeat, and the sizes of records, state and snapshots.
 * Blocks the calling thread for some seconds.
 *
 * @public
 */
export function foldBench(): readonly FoldBenchRow[] {
	return SIZE_EIGHTHS.flatMap(measureSize)
}
