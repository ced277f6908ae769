import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createStatusReport, createFleetState, SystemTimerService } from '@mastichead/core'
import { build, encodeIntoCompressedBase64 } from 'hdr-histogram-js'
import { afterEach, describe, expect, it } from 'vitest'
import { runCli } from './runCli.js'

interface Call {
	readonly method: string
	readonly path: string
	readonly token: string
	readonly body: { readonly proposalId?: string; readonly [field: string]: unknown }
}

type Reply = { readonly status: number; readonly body: unknown } | 'lose'

const UNREACHABLE = 'http://127.0.0.1:9'
const servers: Server[] = []

async function readText(request: IncomingMessage): Promise<string> {
	let text = ''
	for await (const chunk of request) text += String(chunk)
	return text
}

/** Starts an operators' port that answers with `reply`, or closes the connection on `lose`. */
async function startServer(reply: (call: Call) => Reply) {
	const calls: Call[] = []
	const server = createServer((request, response) => {
		void readText(request).then((text) => {
			const call: Call = {
				method: request.method ?? '',
				path: request.url ?? '',
				token: request.headers.authorization ?? '',
				body: (text === '' ? {} : JSON.parse(text)) as Call['body'],
			}
			calls.push(call)
			const answer = reply(call)
			if (answer === 'lose') {
				request.socket.destroy()
				return
			}
			response.writeHead(answer.status, { 'content-type': 'application/json' })
			response.end(JSON.stringify(answer.body))
		})
	})
	servers.push(server)
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
	return { calls, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` }
}

async function run(args: readonly string[], urls: readonly string[] = []) {
	let output = ''
	let error = ''
	const code = await runCli(args, {
		environment: { MASTICHEAD_SERVERS: urls.join(' '), MASTICHEAD_TOKEN: 'test-token' },
		timers: new SystemTimerService(),
		writeOutput: (text) => (output += text),
		writeError: (text) => (error += text),
		signal: new AbortController().signal,
	})
	return { code, output, error }
}

function createError(type: string): Reply {
	const status = { rejected: 409, unauthorized: 401, 'not-appended': 503 }[type] ?? 504
	return { status, body: { error: { type, message: `it is ${type}` } } }
}

afterEach(() => {
	for (const server of servers.splice(0)) {
		server.closeAllConnections()
		server.close()
	}
})

describe('mastichead', () => {
	it('reports wrong usage with exit code 2', async () => {
		for (const args of [
			['dance'],
			['apply'],
			['status', '--output', 'xml'],
			['status'],
			['status', '--server', 'ftp://x'],
			['validate', '/nonexistent.yaml'],
		]) {
			const { code, error } = await run(args)
			expect([args, code]).toEqual([args, 2])
			expect(error).not.toBe('')
		}
		expect(await run(['--help'])).toMatchObject({ code: 0, error: '' })
		expect((await run(['keys', '--help'])).output).toContain('withdraw')
	})

	it('validates the example files and names what is wrong in others', async () => {
		expect((await run(['validate', 'examples/padania.yaml'])).code).toBe(0)
		expect((await run(['validate', 'examples/bretagne.yaml'])).code).toBe(0)
		const { code, error } = await run(['validate', 'package.json'])
		expect(code).toBe(1)
		expect(error).toContain('package.json: ')
	})

	it('applies to the first daemon that can be reached, onto the version in force', async () => {
		const { url, calls } = await startServer(({ method }) =>
			method === 'GET'
				? { status: 200, body: { version: 7, fleet: {} } }
				: { status: 200, body: { proposalId: 'p', version: 9 } }
		)
		const { code, output } = await run(['apply', 'examples/padania.yaml'], [UNREACHABLE, url])
		expect([code, output]).toEqual([0, 'padania is in force as version 9\n'])
		expect(calls[1]).toMatchObject({ token: 'Bearer test-token', body: { base: 7 } })
	})

	it('settles an apply whose answer was lost with the same proposal id', async () => {
		let lost = 2
		const { url, calls } = await startServer(() =>
			lost-- > 0 ? 'lose' : { status: 200, body: { version: 1 } }
		)
		const { code } = await run(['apply', 'examples/padania.yaml', '--base', '0'], [url])
		expect(code).toBe(0)
		expect(new Set(calls.map((call) => call.body.proposalId)).size).toBe(1)
		expect(calls).toHaveLength(3)
	})

	it('says how to settle an outcome that stays unknown', async () => {
		const { url } = await startServer(() => 'lose')
		const args = ['apply', 'examples/padania.yaml', '--base', '0', '--proposal-id', 'p7']
		const { code, error } = await run(args, [url])
		expect(code).toBe(4)
		expect(error).toContain('--proposal-id p7')
	})

	it.each([
		['rejected', 1],
		['unauthorized', 5],
		['not-appended', 3],
		['outcome-unknown', 4],
	])('ends a change that is %s with exit code %i', async (type, expected) => {
		const { url } = await startServer(() => createError(type))
		const { code, error } = await run(['drain', 'quotes-1'], [url])
		expect(code).toBe(expected)
		expect(error).toContain(`it is ${type}`)
	})

	it('ends with exit code 3 when no daemon can be reached', async () => {
		expect((await run(['drain', 'quotes-1'], [UNREACHABLE])).code).toBe(3)
		expect((await run(['get'], [UNREACHABLE])).code).toBe(3)
	})

	it('creates keys locally, sends only the hash, and reports how far a withdrawal has spread', async () => {
		const { url, calls } = await startServer(({ method }) => ({
			status: 200,
			body: method === 'DELETE' ? { reached: 'peers', reason: 'it is down' } : {},
		}))
		const issued = await run(['keys', 'issue', 'installers', '--output', 'json'], [url])
		const { id, key } = JSON.parse(issued.output) as { id: string; key: string }
		expect(key.startsWith(`mh_${id}_`)).toBe(true)
		expect(JSON.stringify(calls)).not.toContain(key.slice(-43))
		const { output } = await run(['keys', 'withdraw', id], [url])
		expect(output).toContain('spreads between peers')
	})

	it('merges the status of all daemons and names those that did not answer', async () => {
		const state = createFleetState()
		state.availabilityZones = ['a']
		const daemon = { availabilityZone: 'a', offset: 0, version: 0, leaving: false, teams: [] }
		const { url } = await startServer(() => ({
			status: 200,
			body: createStatusReport({
				state,
				instance: 'd1',
				daemons: [
					{ ...daemon, instance: 'd1', source: 'self', reachable: true },
					{
						...daemon,
						instance: 'd2',
						source: 'digest',
						reachable: false,
						ageMilliseconds: 34_000,
					},
				],
			}),
		}))
		const { code, output } = await run(['status'], [url, UNREACHABLE])
		expect(code).toBe(0)
		expect(output).toContain(`! no answer from ${UNREACHABLE}`)
		expect(output).toContain('! d2 (a) is unreachable; last word 34.0 s ago')
	})

	it('merges histograms of all daemons', async () => {
		const histogram = build({ numberOfSignificantValueDigits: 1 })
		histogram.recordValue(100)
		const encoded = encodeIntoCompressedBase64(histogram)
		const times = { wait: encoded, service: encoded, total: encoded }
		const outcomes = { ran: 1, 'may-have-run': 0, 'not-run': 0 }
		const { url } = await startServer(() => ({
			status: 200,
			body: { teams: [{ name: 'installers', outcomes, ...times }], queues: [] },
		}))
		const { output } = await run(['histograms', '--output', 'json'], [url, url])
		expect(JSON.parse(output)).toMatchObject({
			teams: [{ name: 'installers', outcomes: { ran: 2 }, wait: { count: 2 } }],
			unanswered: [],
		})
		expect((await run(['histograms'], [url])).output).toMatch(/installers\s+1\s+0\s+0/)
	})
})

describe('explain', () => {
	const known = { job: 'a1', state: 'running', queue: 'quotes', team: '', age: 100, steps: [] }

	it('prefers the report of the owner, and needs no token', async () => {
		const other = await startServer(() => ({ status: 200, body: { ...known, owner: false } }))
		const step = { step: 0, occurrence: 0, waiting: 2, placed: 1, done: 0, ended: 0 }
		const owner = await startServer(() => ({
			status: 200,
			body: { ...known, owner: true, steps: [{ ...step, reason: 'no-room' }] },
		}))
		const { code, output } = await run(['explain', 'a1'], [other.url, owner.url])
		expect(code).toBe(0)
		expect(output).toContain('2 waiting, 1 placed')
		expect(output).toContain('every backend server that could take a task is full')
		expect(owner.calls[0]?.path).toBe('/explain/a1')
	})

	it('says that a job is unknown, with exit code 1', async () => {
		const { url } = await startServer(() => ({
			status: 200,
			body: { job: 'a1', queue: '', team: '', age: 0, owner: true, steps: [] },
		}))
		const { code, error } = await run(['explain', 'a1'], [url])
		expect([code, error]).toEqual([1, 'no instance that answered knows of job a1\n'])
	})
})
