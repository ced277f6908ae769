import { createFleetText, Deployment } from '@mastichead/standins'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { SessionTape } from './SessionTape.js'

const BASE_PORT = 16_300
const BOUND_MILLISECONDS = 20_000

const directory = mkdtempSync(join(tmpdir(), 'mastichead-golden-'))
let deployment: Deployment

beforeAll(async () => {
	const fleetFile = join(directory, 'fleet.yaml')
	writeFileSync(fleetFile, createFleetText({ firstPort: BASE_PORT + 1, servers: 1 }))
	deployment = new Deployment({ fleetFile, basePort: BASE_PORT, daemons: 2, runMilliseconds: 5 })
	await deployment.start()
}, 60_000)

afterAll(async () => {
	expect(await deployment.stop()).toEqual([])
	rmSync(directory, { recursive: true })
}, 60_000)

async function waitUntil(isTrue: () => Promise<boolean>): Promise<void> {
	const end = Date.now() + BOUND_MILLISECONDS
	while (!(await isTrue())) {
		if (Date.now() > end) throw new Error('not in time')
		await delay(50)
	}
}

test('a whole session of operators and callers is as recorded', async () => {
	const tape = new SessionTape()
	const [operators = '', others = ''] = deployment.operatorUrls
	const [callers = '', otherCallers = ''] = deployment.callerUrls
	const token = { authorization: `Bearer ${deployment.token}` }
	const shown = { authorization: 'Bearer <token>' }
	const operate = async (
		method: 'GET' | 'POST' | 'PUT' | 'DELETE',
		path: string,
		body?: unknown,
		isBodyHidden = false
	) => {
		const quiet = new SessionTape()
		const call = { method, url: operators + path, isBodyHidden }
		const text = body === undefined ? {} : { body: JSON.stringify(body) }
		const answer = await quiet.send('operator', { ...call, ...text, headers: token })
		tape.append(quiet, token.authorization, shown.authorization)
		return answer
	}
	const post = (url: string, key: string, headers = {}, queue = 'quotes', body = 'a quote') =>
		tape.send('caller', {
			method: 'POST',
			url: `${url}/v1/queues/${queue}/requests`,
			headers: { ...(key === '' ? {} : { authorization: `Bearer ${key}` }), ...headers },
			body,
		})

	const document = deployment.fleet
	await tape.send('operator', { method: 'GET', url: `${operators}/v1/fleet` })
	await operate('GET', '/v1/fleet')
	const applied = await operate('PUT', '/v1/fleet', {
		proposalId: 'session-1',
		base: 0,
		fleet: document,
	})
	expect(applied.status).toBe(200)
	await operate('PUT', '/v1/fleet', { proposalId: 'session-1', base: 0, fleet: document })
	await operate('PUT', '/v1/fleet', { proposalId: 'session-2', base: 0, fleet: document })
	await operate('PUT', '/v1/fleet', {
		proposalId: 'session-3',
		base: 0,
		fleet: { ...document, pools: [] },
	})
	const issued = await operate('POST', '/v1/keys', { proposalId: 'session-4', team: 'desk' })
	const other = await operate('POST', '/v1/keys', { proposalId: 'session-5', team: 'other' })
	const [key = '', otherKey = ''] = [issued, other].map(
		({ text }) => /mh_[0-9a-f]{16}_[A-Za-z0-9_-]{43}/.exec(text)?.[0] ?? ''
	)
	expect([key, otherKey]).not.toContain('')
	for (const url of deployment.callerUrls) {
		await waitUntil(async () => {
			const quiet = new SessionTape()
			const headers = { authorization: `Bearer ${key}` }
			const call = { method: 'POST', url: `${url}/v1/queues/quotes/requests`, headers } as const
			return (await quiet.send('', call)).status === 200
		})
	}

	await post(callers, key)
	await post(otherCallers, key)
	await post(callers, '')
	await post(callers, 'mh_nonsense')
	await post(callers, otherKey)
	await post(callers, key, {}, 'nowhere')
	await post(callers, key, { 'mastichead-timeout-milliseconds': 'soon' })
	const { text } = await tape.send('caller', { method: 'POST', url: `${callers}/v1/request-ids` })
	const { requestId } = JSON.parse(text) as { requestId: string }
	await post(callers, key, { 'mastichead-request-id': requestId })
	await post(otherCallers, key, { 'mastichead-request-id': requestId })
	await post(callers, key, { 'mastichead-request-id': 'made-up' })
	await tape.send('caller', { method: 'GET', url: `${callers}/v1/queues/quotes/requests` })
	await tape.send('caller', { method: 'GET', url: `${callers}/v1/nothing` })

	await operate('GET', '/v1/waves')
	await operate('PUT', '/v1/backend-servers/nowhere/drain', { proposalId: 'session-6' })
	await operate('GET', '/v1/status', undefined, true)
	await operate('GET', '/v1/histograms', undefined, true)
	const keyId = key.slice(3, 19)
	await operate('DELETE', `/v1/keys/${keyId}`)
	await waitUntil(async () => {
		const quiet = new SessionTape()
		const headers = { authorization: `Bearer ${key}` }
		const url = `${otherCallers}/v1/queues/quotes/requests`
		return (await quiet.send('', { method: 'POST', url, headers })).status === 401
	})
	await post(callers, key)
	await post(otherCallers, key)
	await tape.send('operator', { method: 'GET', url: `${others}/readyz` })

	await expect(tape.text).toMatchFileSnapshot('session.golden')
}, 60_000)
