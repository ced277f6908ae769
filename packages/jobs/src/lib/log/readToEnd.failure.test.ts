import { VirtualTimerService } from '@mastichead/core'
import { expect, it } from 'vitest'
import { SilentEventLog } from '../logs/SilentEventLog.js'
import { MemoryLog } from '../testing/MemoryLog.js'
import { MemoryStore } from '../testing/MemoryStore.js'
import { StreamFollower } from './StreamFollower.js'

// Failure: a query for an unknown job waited 14 to 21 s for an empty read, while the owner wrote on.
it('reads to the end that the stream had when asked, although records are added all the time', async () => {
	const timers = new VirtualTimerService()
	const store = new MemoryStore()
	const log = new MemoryLog(store, timers)
	const options = { maximumWait: 20, getPollDelay: () => 120 }
	const events = new SilentEventLog()
	const follower = new StreamFollower('progress', log, timers, events, () => undefined, options)
	let read: boolean | undefined
	void follower.readToEnd().then((result) => {
		read = result
	})
	for (let step = 0; step < 500; step += 1) {
		store.append('progress', [{ key: `job-${step % 50}`, value: '{}' }])
		timers.advance(1)
		await new Promise((resolve) => setImmediate(resolve))
	}
	expect(read).toBe(true)
})
