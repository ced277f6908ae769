import { expect, test } from 'vitest'
import { VirtualTimerService } from './VirtualTimerService.js'

test('advance runs the due timers in order and no later ones', () => {
	const timers = new VirtualTimerService()
	const calls: string[] = []
	timers.after(20, () => calls.push(`late ${timers.now()}`))
	timers.after(10, () => calls.push(`early ${timers.now()}`))
	const every = timers.every(15, () => calls.push(`every ${timers.now()}`))
	timers.advance(30)
	every.cancel()
	timers.advance(100)
	expect(calls).toEqual(['early 10', 'every 15', 'late 20', 'every 30'])
	expect(timers.now()).toBe(130)
})
