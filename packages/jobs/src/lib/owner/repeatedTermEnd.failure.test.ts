import { expect, it } from 'vitest'
import { MemoryEventLog } from '../testing/MemoryEventLog.js'
import { createTestFleet } from '../testing/createTestFleet.js'

/** Numbers of answers that get lost when the end of a term is recorded, so that it is recorded again. */
const LOST_ANSWERS = [0, 2]
/** Duration of the next term, in milliseconds; longer than the log keeps its history. */
const TERM_TIME = 25_000

// Guards against an owner that stops following its own records, because the end of the term before is recorded
// more than once: when its term ends, the history has expired, and it has to load all progress again.
it.each(LOST_ANSWERS)(
	'an owner follows the log although %i answers to the record of the earlier end were lost',
	async (lostAnswers) => {
		const events = new MemoryEventLog()
		const fleet = createTestFleet({ instances: 2, backends: 2, events })
		await fleet.advance(1_000)
		const first = fleet.instances.find(({ daemon }) => daemon.isOwner)
		const second = fleet.instances.find(({ daemon }) => !daemon.isOwner)
		if (!first || !second) throw new Error('the fleet has no owner or no other instance')
		const append = first.log.append.bind(first.log)
		let remaining = lostAnswers
		first.log.append = async (stream, records, timeout, fence) => {
			const result = await append(stream, records, timeout, fence)
			if (stream !== 'progress' || fence || remaining === 0) return result
			remaining -= 1
			return { kind: 'unknown', reason: 'answer lost' }
		}
		fleet.store.rebalance()
		await fleet.advance(TERM_TIME)
		expect(second.daemon.isOwner).toBe(true)
		fleet.store.compact('progress')
		fleet.store.rebalance()
		await fleet.advance(1_000)
		expect(first.daemon.isOwner).toBe(true)
		expect(events.get('log-history-expired')).toEqual([])
	}
)
