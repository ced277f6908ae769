import { VirtualTimerService, createTestConfiguration } from '@mastichead/core'
import { describe, expect, it } from 'vitest'
import { SilentEventLog } from '../logs/SilentEventLog.js'
import { JsonTestFormat } from '../testing/JsonTestFormat.js'
import { MemoryLog } from '../testing/MemoryLog.js'
import { MemoryStore } from '../testing/MemoryStore.js'
import { ConfigurationManager } from './ConfigurationManager.js'

const KEY = 'k'

// Guards against a withdrawn key that is in force again, for instance after a restart.
describe('a withdrawn key', () => {
	it('stays out of force when the record of the version that had it is read once more', async () => {
		const { store, startManager, advance } = createFixture()
		const manager = startManager()
		writeVersion(store, 1)
		await advance(1_000)
		expect(manager.getCurrentOrEmpty().keys.has(KEY)).toBe(true)
		writeVersion(store, 2)
		await advance(1_000)
		expect(manager.getCurrentOrEmpty().keys.has(KEY)).toBe(false)
		writeVersion(store, 1)
		await advance(1_000)
		expect(manager.getCurrentOrEmpty()).toMatchObject({ version: 2 })
		expect(manager.getCurrentOrEmpty().keys.has(KEY)).toBe(false)
	})

	it('is not in force while an instance that has started again cannot read the stream, nor after', async () => {
		const { store, startManager, advance } = createFixture()
		writeVersion(store, 1)
		writeVersion(store, 2)
		store.unavailableStreams.add('operator')
		const manager = startManager()
		await advance(5_000)
		expect(manager.current).toBeUndefined()
		expect(manager.getCurrentOrEmpty().keys.size).toBe(0)
		store.unavailableStreams.delete('operator')
		await advance(2_000)
		expect(manager.current).toMatchObject({ version: 2 })
		expect(manager.getCurrentOrEmpty().keys.has(KEY)).toBe(false)
	})

	it('was never in force at an instance that starts after its withdrawal', async () => {
		const { store, startManager, advance } = createFixture()
		writeVersion(store, 1)
		writeVersion(store, 2)
		const manager = startManager()
		const applied: number[] = []
		manager.subscribe(({ version }) => applied.push(version))
		await advance(1_000)
		expect(applied).toEqual([2])
	})
})

function writeVersion(store: MemoryStore, version: number): void {
	store.append('operator', [{ key: 'config', value: `${version}` }])
}

/** Creates a store and managers that follow it. Version 1 has the key, version 2 does not. */
function createFixture() {
	const timers = new VirtualTimerService()
	const store = new MemoryStore()
	const first = createTestConfiguration()
	const second = { ...first, version: 2, keys: new Map() }
	const format = new JsonTestFormat(
		new Map([
			[1, first],
			[2, second],
		])
	)
	const startManager = (): ConfigurationManager => {
		const log = new MemoryLog(store, timers)
		const manager = new ConfigurationManager({ log, timers, events: new SilentEventLog(), format })
		manager.follower.start()
		return manager
	}
	const advance = async (duration: number): Promise<void> => {
		for (let step = 0; step < duration; step += 1) {
			timers.advance(1)
			await new Promise((resolve) => setImmediate(resolve))
		}
	}
	return { store, startManager, advance }
}
