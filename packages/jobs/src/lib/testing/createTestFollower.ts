import { VirtualTimerService } from '@mastichead/core'
import type { LogEntry } from '../ports/LogEntry.js'
import type { LogStream } from '../ports/LogStream.js'
import { SilentEventLog } from '../logs/SilentEventLog.js'
import { StreamFollower } from '../log/StreamFollower.js'
import { MemoryLog } from './MemoryLog.js'
import { MemoryStore } from './MemoryStore.js'

const STREAM: LogStream = 'progress'
const KEYS = ['a', 'b', 'c', 'd', 'e', 'f']

/**
 * Creates a follower of the progress stream, which has some keys on pages of two, and the state that
 * it builds, in virtual time.
 *
 * @param options.maximumWait - milliseconds for which a read waits for a record
 * @internal
 */
export function createTestFollower({
	pollDelay = 5,
	keys = KEYS,
	maximumWait = 20,
}: { pollDelay?: number; keys?: readonly string[]; maximumWait?: number } = {}) {
	const timers = new VirtualTimerService()
	const store = new MemoryStore()
	store.append(
		STREAM,
		keys.map((key) => ({ key, value: 'old' }))
	)
	const log = new MemoryLog(store, timers)
	log.pageSize = 2
	const state = new Map<string, string>()
	const listener = ({ key, value }: LogEntry): void => {
		if (value === undefined) state.delete(key)
		else state.set(key, value)
	}
	const options = { maximumWait, getPollDelay: () => pollDelay }
	const events = new SilentEventLog()
	const follower = new StreamFollower(STREAM, log, timers, events, listener, options)
	const advance = async (duration: number): Promise<void> => {
		for (let step = 0; step < duration; step += 1) {
			timers.advance(1)
			await new Promise((resolve) => setImmediate(resolve))
		}
	}
	return { follower, log, store, state, advance }
}
