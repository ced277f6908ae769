import { expect, it } from 'vitest'
import { SharedRead } from './SharedRead.js'

it('starts a read for the first call and one more for all calls during it, and goes on after a failure', async () => {
	const ends: ((error?: Error) => void)[] = []
	const shared = new SharedRead(
		() =>
			new Promise((resolve, reject) => {
				ends.push((error) => {
					if (error) reject(error)
					else resolve(true)
				})
			})
	)
	const first = shared.request()
	const others = [shared.request(), shared.request()]
	expect(ends).toHaveLength(1)
	ends[0]?.(new Error('connection lost'))
	await expect(first).rejects.toThrow('connection lost')
	await new Promise((resolve) => setImmediate(resolve))
	expect(ends).toHaveLength(2)
	ends[1]?.()
	expect(await Promise.all(others)).toEqual([true, true])
	void shared.request()
	expect(ends).toHaveLength(3)
})
