import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'
import { BodyMemory } from '@mastichead/http'
import { expect, test } from 'vitest'
import { RequestBody } from './RequestBody.js'

const MAXIMUM_BYTES = 1_000_000

test('a body in very many chunks is held in one buffer and released with the request', async () => {
	const memory = new BodyMemory(Infinity)
	const chunks = Array.from({ length: 60_000 }, () => Buffer.from('x'))
	const body = await RequestBody.readAhead(createRequest(chunks), MAXIMUM_BYTES, memory)
	expect(body.takePayload()).toEqual(Buffer.alloc(60_000, 'x'))
	expect(memory.used).toBeGreaterThan(60_000)
	body.release()
	expect(memory.used).toBe(0)
})

test('a body is dropped for the memory of all, and holds nothing afterwards', async () => {
	const memory = new BodyMemory(50_000)
	memory.append(
		memory.begin(() => undefined),
		Buffer.alloc(10_000)
	)
	const chunks = Array.from({ length: 5 }, () => Buffer.alloc(10_000))
	const body = await RequestBody.readAhead(createRequest(chunks), MAXIMUM_BYTES, memory)
	expect(body.failure).toBe('dropped')
	expect(memory.used).toBeLessThan(20_000)
})

test('a streamed body is charged for the chunks that wait, by their size so far', async () => {
	const memory = new BodyMemory(10_000_000)
	const large = Array.from({ length: 8 }, () => Buffer.alloc(10_000))
	await RequestBody.readAhead(createRequest(large), MAXIMUM_BYTES, memory)
	const used = memory.used
	const small = Array.from({ length: 8_000 }, () => Buffer.alloc(10))
	await RequestBody.readAhead(createRequest(small), MAXIMUM_BYTES, memory)
	expect(memory.used - used).toBeGreaterThan(2 * used)
})

test('a streamed body passes on all that was read before and after', async () => {
	const chunks = Array.from({ length: 20 }, (_, index) => Buffer.alloc(10_000, String(index % 10)))
	const memory = new BodyMemory(Infinity)
	const body = await RequestBody.readAhead(createRequest(chunks), MAXIMUM_BYTES, memory)
	const received: Buffer[] = []
	for await (const chunk of body.takePayload() as AsyncIterable<Buffer>) received.push(chunk)
	expect(Buffer.concat(received)).toEqual(Buffer.concat(chunks))
})

function createRequest(chunks: readonly Buffer[]): IncomingMessage {
	const stream = Readable.from(chunks, { objectMode: false })
	return Object.assign(stream, { headers: {} }) as unknown as IncomingMessage
}
