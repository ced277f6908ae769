import { expect, test } from 'vitest'
import { VirtualTimerService } from './VirtualTimerService.js'

test('runs due timers in order and stops at the end of the advance', () => {
	const timers = new VirtualTimerService()
	const seen: string[] = []
	timers.after(20, () => seen.push(`late ${timers.now()}`))
	timers.after(10, () => seen.push(`early ${timers.now()}`))
	const every = timers.every(15, () => seen.push(`every ${timers.now()}`))
	timers.advance(30)
	every.cancel()
	timers.advance(100)
	expect(seen).toEqual(['early 10', 'every 15', 'late 20', 'every 30'])
	expect(timers.now()).toBe(130)
})
