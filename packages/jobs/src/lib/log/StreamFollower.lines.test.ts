import { VirtualTimerService } from '@mastichead/core'
import { expect, it } from 'vitest'
import { MemoryEventLog } from '../testing/MemoryEventLog.js'
import { MemoryLog } from '../testing/MemoryLog.js'
import { MemoryStore } from '../testing/MemoryStore.js'
import { StreamFollower } from './StreamFollower.js'

// Guards against a load of which nobody can tell afterwards how large it was and how often it failed.
it('reports a load with its size, its duration and the number of tries', async () => {
	const { store, events, follower, advance } = createFollower()
	store.append('progress', [
		{ key: 'a', value: '1' },
		{ key: 'b', value: '2' },
	])
	store.unavailableStreams.add('progress')
	follower.start()
	await advance(200)
	store.unavailableStreams.delete('progress')
	await advance(300)
	const [line, ...others] = events.get('stream-loaded')
	expect(others).toEqual([])
	expect(line).toMatchObject({ stream: 'progress', entries: 2, next: 2, tries: 3 })
	expect(line?.after).toBeGreaterThan(300)
	expect(line?.after).toBeLessThan(330)
})

// Guards against a loss of the log of which the lines do not tell how long it lasted.
it('reports from where and for how long a stream could not be read', async () => {
	const { store, events, follower, advance } = createFollower()
	store.append('progress', [{ key: 'a', value: '1' }])
	follower.start()
	await advance(50)
	store.unavailableStreams.add('progress')
	await advance(400)
	store.unavailableStreams.delete('progress')
	await advance(300)
	expect(events.get('log-lost')).toEqual([
		expect.objectContaining({ stream: 'progress', reason: 'no answer', from: 1, loaded: true }),
	])
	expect(events.get('log-lost')[0]?.silence).toBeLessThan(30)
	const [regained] = events.get('log-regained')
	expect(regained).toMatchObject({ stream: 'progress', next: 1, failedReads: 3 })
	expect(regained?.after).toBeGreaterThan(400)
	expect(regained?.after).toBeLessThan(500)
})

function createFollower(): {
	store: MemoryStore
	events: MemoryEventLog
	follower: StreamFollower
	advance: (duration: number) => Promise<void>
} {
	const timers = new VirtualTimerService()
	const store = new MemoryStore()
	const events = new MemoryEventLog()
	const log = new MemoryLog(store, timers)
	const follower = new StreamFollower('progress', log, timers, events, () => undefined, {
		maximumWait: 0,
		getPollDelay: () => 10,
	})
	const advance = async (duration: number): Promise<void> => {
		for (let step = 0; step < duration; step += 1) {
			timers.advance(1)
			await new Promise((resolve) => setImmediate(resolve))
		}
	}
	return { store, events, follower, advance }
}
