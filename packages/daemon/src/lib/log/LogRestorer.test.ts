import { createSnapshotProposals, encodeSnapshot, Fold, hashState } from '@mastichead/core'
import { PassThrough } from 'node:stream'
import { expect, test } from 'vitest'
import { createLogger } from '../logs/createLogger.js'
import { LogReplica } from './LogReplica.js'
import type { LogRecord } from './LogRecord.js'
import { LogRestorer } from './LogRestorer.js'

const logger = createLogger({ level: 'error' })

function createBeats(from: number, count: number): LogRecord[] {
	return Array.from({ length: count }, (_, index) => {
		const proposal = { kind: 'heartbeat', id: `beat-${from + index}`, instance: 'entry-0' }
		return { offset: from + index, at: 0, record: JSON.stringify(proposal) }
	})
}

function createStateAt(offset: number): Fold {
	const log = new LogReplica(logger)
	log.apply(createBeats(0, offset + 1))
	return new Fold(log.state)
}

function createPart(offset: number, through: number, damage: object = {}): LogRecord {
	const [part] = createSnapshotProposals(encodeSnapshot(createStateAt(through).state), `s${offset}`)
	return { offset, at: 0, record: JSON.stringify({ ...part, ...damage }) }
}

test('takes only a snapshot that the kept records go on from, and the newest of these', () => {
	const restorer = new LogRestorer(10, logger)
	restorer.add([createPart(10, 5)])
	expect(restorer.state).toBeUndefined()
	restorer.add([...createBeats(11, 3), createPart(14, 9), createPart(15, 13), createPart(16, 11)])
	expect(restorer.state?.offset).toBe(13)
	expect(restorer.tail.map(({ offset }) => offset)).toEqual([14, 15, 16])
})

test('passes over a damaged snapshot', () => {
	const restorer = new LogRestorer(10, createLogger({ stream: new PassThrough() }))
	const broken = createPart(11, 10, { body: 'AAAA' })
	const altered = createPart(12, 11, { hash: 'f'.repeat(64) })
	restorer.add([createPart(10, 9), broken, altered])
	expect(restorer.state?.offset).toBe(9)
})

test('a folded log goes forward only, whatever it is given', () => {
	const log = new LogReplica(logger)
	log.apply(createBeats(0, 5))
	const before = hashState(log.state)
	expect(log.restore(createStateAt(3).state)).toBe(false)
	log.apply(createBeats(0, 3))
	log.apply(createBeats(7, 2))
	expect(hashState(log.state)).toBe(before)
	expect(log.restore(createStateAt(8).state)).toBe(true)
	expect(log.state.offset).toBe(8)
})
