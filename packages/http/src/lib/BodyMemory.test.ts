import { expect, it } from 'vitest'
import { BodyMemory } from './BodyMemory.js'

const LIMIT = 100_000

// Names the load: many large bodies that stay open, and small ones beside them.
it('drops the largest open bodies beyond the limit, and keeps the small ones', () => {
	const memory = new BodyMemory(LIMIT)
	const dropped: string[] = []
	const begin = (name: string) => memory.begin(() => dropped.push(name))
	const small = begin('small')
	memory.append(small, Buffer.from('small'))
	for (let index = 0; index < 10; index += 1)
		memory.append(begin(`large-${index}`), Buffer.alloc(40_000))
	memory.append(begin('late'), Buffer.from('late'))
	expect(memory.used).toBeLessThanOrEqual(LIMIT)
	expect(dropped).not.toContain('small')
	expect(dropped).not.toContain('late')
	expect(dropped).toHaveLength(8)
	expect(memory.complete(small).toString()).toBe('small')
})

it('keeps a body that is alone, whatever it costs', () => {
	const memory = new BodyMemory(LIMIT)
	let drops = 0
	const body = memory.begin(() => {
		drops += 1
	})
	for (let chunk = 0; chunk < LIMIT; chunk += 1) memory.append(body, Buffer.from('x'))
	expect(drops).toBe(0)
	expect(memory.complete(body)).toHaveLength(LIMIT)
})

it('charges a complete body until it is released, once', () => {
	const memory = new BodyMemory(LIMIT)
	const body = memory.begin(() => undefined)
	memory.append(body, Buffer.alloc(2_000))
	memory.complete(body)
	expect(memory.used).toBeGreaterThanOrEqual(2_000)
	memory.release(body)
	memory.release(body)
	expect(memory.used).toBe(0)
})

it('reserves nothing beyond the limit for a body beside others', () => {
	const memory = new BodyMemory(LIMIT)
	const [first, second] = [memory.begin(() => undefined), memory.begin(() => undefined)]
	expect(memory.reserve(first, 2 * LIMIT)).toBe(true)
	expect(memory.reserve(second, 1)).toBe(false)
	memory.release(first)
	expect(memory.reserve(second, 1)).toBe(true)
})
