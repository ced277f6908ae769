import { createSnapshotProposals, encodeSnapshot, Fold, hashState } from '@mastichead/core'
import { PassThrough } from 'node:stream'
import { expect, test } from 'vitest'
import { createLogger } from '../logs/createLogger.js'
import type { LogRecord } from './LogRecord.js'
import { LogReplica } from './LogReplica.js'
import { LogRestorer } from './LogRestorer.js'

const logger = createLogger({ level: 'error' })

function createHeartbeats(from: number, count: number): LogRecord[] {
	return Array.from({ length: count }, (_, index) => {
		const proposal = { kind: 'heartbeat', id: `beat-${from + index}`, instance: 'entry-0' }
		return { offset: from + index, at: 0, record: JSON.stringify(proposal) }
	})
}

function createFoldAt(offset: number): Fold {
	const replica = new LogReplica(logger)
	replica.apply(createHeartbeats(0, offset + 1))
	return new Fold(replica.state)
}

function createPart(offset: number, through: number, damage: object = {}): LogRecord {
	const [part] = createSnapshotProposals(encodeSnapshot(createFoldAt(through).state), `s${offset}`)
	return { offset, at: 0, record: JSON.stringify({ ...part, ...damage }) }
}

test('restores the newest snapshot that the kept records continue', () => {
	const restorer = new LogRestorer(10, logger)
	restorer.add([createPart(10, 5)])
	expect(restorer.state).toBeUndefined()
	restorer.add([
		...createHeartbeats(11, 3),
		createPart(14, 9),
		createPart(15, 13),
		createPart(16, 11),
	])
	expect(restorer.state?.offset).toBe(13)
	expect(restorer.tail.map(({ offset }) => offset)).toEqual([14, 15, 16])
})

test('skips a damaged snapshot', () => {
	const restorer = new LogRestorer(10, createLogger({ stream: new PassThrough() }))
	const broken = createPart(11, 10, { body: 'AAAA' })
	const altered = createPart(12, 11, { hash: 'f'.repeat(64) })
	restorer.add([createPart(10, 9), broken, altered])
	expect(restorer.state?.offset).toBe(9)
})

test('a replica never goes back, whatever records and states it receives', () => {
	const replica = new LogReplica(logger)
	replica.apply(createHeartbeats(0, 5))
	const before = hashState(replica.state)
	expect(replica.restore(createFoldAt(3).state)).toBe(false)
	replica.apply(createHeartbeats(0, 3))
	replica.apply(createHeartbeats(7, 2))
	expect(hashState(replica.state)).toBe(before)
	expect(replica.restore(createFoldAt(8).state)).toBe(true)
	expect(replica.state.offset).toBe(8)
})
