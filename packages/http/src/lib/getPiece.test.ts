import { expect, it } from 'vitest'
import { getPiece } from './getPiece.js'

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'

it.each([
	{ name: 'one request', data: REQUEST, bytes: REQUEST.length, cost: 20 },
	{ name: 'the first of two requests', data: REQUEST.repeat(2), bytes: REQUEST.length, cost: 20 },
	{ name: 'lines that end without a carriage return', data: 'a\n\nb\n', bytes: 3, cost: 19 },
	{ name: 'a part of a header', data: 'GET / HTTP/1.1\r\nHo', bytes: 18, cost: 3 },
	{ name: 'few of many chunks', data: '1\r\n \r\n'.repeat(1_000), bytes: 600, cost: 202 },
	{ name: 'a kilobyte of a body', data: ' '.repeat(100_000), bytes: 1_024, cost: 2 },
])('takes $name', ({ data, bytes, cost }) => {
	expect(getPiece(Buffer.from(data))).toEqual({ bytes, cost })
})
