import { VirtualTimerService } from '@mastichead/core'
import { expect, it } from 'vitest'
import { OrderPace } from './OrderPace.js'

const RATE = 64

// Names the load: a peak asks for more machines at once than the platform accepts orders in a second.
it('sends what it can at once, and never more in a second than the platform accepts', async () => {
	const timers = new VirtualTimerService()
	const pace = new OrderPace(timers, RATE)
	const sentAt: number[] = []
	for (let order = 0; order < 200; order += 1)
		void pace.wait().then(() => sentAt.push(timers.now()))
	for (let step = 0; step < 6_000; step += 1) {
		timers.advance(1)
		await Promise.resolve()
	}
	expect(sentAt).toHaveLength(200)
	for (const start of sentAt) {
		const inSecond = sentAt.filter((at) => at >= start && at < start + 1_000)
		expect(inSecond.length).toBeLessThanOrEqual(RATE)
	}
	expect(sentAt.filter((at) => at <= 1).length).toBeGreaterThanOrEqual(RATE / 4)
})

it('delays nothing without a rate', async () => {
	const timers = new VirtualTimerService()
	const pace = new OrderPace(timers, undefined)
	await Promise.all(Array.from({ length: 1_000 }, () => pace.wait()))
	expect(timers.now()).toBe(0)
})
