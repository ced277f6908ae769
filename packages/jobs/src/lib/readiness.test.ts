import { describe, expect, it } from 'vitest'
import { createTestFleet } from './testing/createTestFleet.js'

/** Time from the first refused call of an instance until it is no longer ready, in milliseconds. */
const MAXIMUM_DELAY = 1_500
/** Time that each answer to a read is under way, in milliseconds. */
const LOAD_TIME = 100

// Guards against callers that the load balancer keeps sending to instances which the log turns away,
// while others could store their jobs.
describe('an instance that the log turns away', () => {
	it('is not ready soon, and ready again once the log serves it', async () => {
		const fleet = createTestFleet({ instances: 3, backends: 1 })
		await fleet.advance(1_000)
		const [refused, served] = fleet.instances
		if (!refused || !served) throw new Error('the fleet has two instances')
		expect(refused.daemon.isReady()).toBe(true)
		refused.log.disconnected = true
		await fleet.advance(MAXIMUM_DELAY)
		expect(refused.daemon.isReady()).toBe(false)
		expect(served.daemon.isReady()).toBe(true)
		refused.log.disconnected = false
		await fleet.advance(MAXIMUM_DELAY)
		expect(refused.daemon.isReady()).toBe(true)
	})

	it('stays ready through a single failed read', async () => {
		const fleet = createTestFleet({ instances: 1, backends: 1 })
		await fleet.advance(1_000)
		const [instance] = fleet.instances
		if (!instance) throw new Error('the fleet has no instance')
		const { log, daemon } = instance
		const ready = new Set<boolean>()
		for (let round = 0; round < 20; round += 1) {
			log.disconnected = round % 5 === 0
			for (let step = 0; step < 20; step += 1) {
				await fleet.advance(10)
				ready.add(daemon.isReady())
			}
		}
		expect([...ready]).toEqual([true])
	})
})

// Guards against callers that wait for an instance which is still loading, while others could decide at once.
describe('an instance that has just started', () => {
	it('is not ready before it has loaded the submissions', async () => {
		const fleet = createTestFleet({ instances: 1, backends: 1 })
		await fleet.advance(1_000)
		fleet.restartInstance(0)
		const [instance] = fleet.instances
		if (!instance) throw new Error('the fleet has no instance')
		instance.log.transferTime = LOAD_TIME
		await fleet.advance(10 * LOAD_TIME)
		expect(instance.daemon.isReady()).toBe(false)
		await fleet.advance(20 * LOAD_TIME)
		expect(instance.daemon.isReady()).toBe(true)
	})

	it('is ready if a stream of submissions does not answer', async () => {
		const fleet = createTestFleet({ instances: 1, backends: 1 })
		await fleet.advance(1_000)
		fleet.store.unavailableStreams.add('intake/2')
		fleet.restartInstance(0)
		await fleet.advance(1_000)
		expect(fleet.instances[0]?.daemon.isReady()).toBe(true)
	})
})
