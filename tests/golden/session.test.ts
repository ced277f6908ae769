import { createFleetText, Deployment } from '@mastichead/standins'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { SessionRecorder } from './SessionRecorder.js'

const BASE_PORT = 16_300
const WAIT_TIMEOUT_MILLISECONDS = 20_000

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

async function waitUntil(isMet: () => Promise<boolean>): Promise<void> {
	const deadline = Date.now() + WAIT_TIMEOUT_MILLISECONDS
	while (!(await isMet())) {
		if (Date.now() > deadline) throw new Error('timed out waiting for a condition')
		await delay(50)
	}
}

test('a whole session of operators and callers is as recorded', async () => {
	const recorder = new SessionRecorder()
	const [operatorUrl = '', otherOperatorUrl = ''] = deployment.operatorUrls
	const [callerUrl = '', otherCallerUrl = ''] = deployment.callerUrls
	const sentHeaders = { authorization: `Bearer ${deployment.token}` }
	const recordedHeaders = { authorization: 'Bearer <token>' }
	const operate = async (
		method: 'GET' | 'POST' | 'PUT' | 'DELETE',
		path: string,
		body?: unknown,
		isBodyHidden = false
	) => {
		const operatorRecorder = new SessionRecorder()
		const call = { method, url: operatorUrl + path, isBodyHidden }
		const content = body === undefined ? {} : { body: JSON.stringify(body) }
		const response = await operatorRecorder.send('operator', {
			...call,
			...content,
			headers: sentHeaders,
		})
		recorder.append(operatorRecorder, sentHeaders.authorization, recordedHeaders.authorization)
		return response
	}
	const post = (url: string, key: string, headers = {}, queue = 'quotes', body = 'a quote') =>
		recorder.send('caller', {
			method: 'POST',
			url: `${url}/v1/queues/${queue}/requests`,
			headers: { ...(key === '' ? {} : { authorization: `Bearer ${key}` }), ...headers },
			body,
		})

	const document = deployment.fleet
	await recorder.send('operator', { method: 'GET', url: `${operatorUrl}/v1/fleet` })
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
			const unrecorded = new SessionRecorder()
			const headers = { authorization: `Bearer ${key}` }
			const call = { method: 'POST', url: `${url}/v1/queues/quotes/requests`, headers } as const
			return (await unrecorded.send('', call)).status === 200
		})
	}

	await post(callerUrl, key)
	await post(otherCallerUrl, key)
	await post(callerUrl, '')
	await post(callerUrl, 'mh_nonsense')
	await post(callerUrl, otherKey)
	await post(callerUrl, key, {}, 'nowhere')
	await post(callerUrl, key, { 'mastichead-timeout-milliseconds': 'soon' })
	const { text } = await recorder.send('caller', {
		method: 'POST',
		url: `${callerUrl}/v1/request-ids`,
	})
	const { requestId } = JSON.parse(text) as { requestId: string }
	await post(callerUrl, key, { 'mastichead-request-id': requestId })
	await post(otherCallerUrl, key, { 'mastichead-request-id': requestId })
	await post(callerUrl, key, { 'mastichead-request-id': 'made-up' })
	await recorder.send('caller', { method: 'GET', url: `${callerUrl}/v1/queues/quotes/requests` })
	await recorder.send('caller', { method: 'GET', url: `${callerUrl}/v1/nothing` })

	await operate('GET', '/v1/waves')
	await operate('PUT', '/v1/backend-servers/nowhere/drain', { proposalId: 'session-6' })
	await operate('GET', '/v1/status', undefined, true)
	await operate('GET', '/v1/histograms', undefined, true)
	const keyId = key.slice(3, 19)
	await operate('DELETE', `/v1/keys/${keyId}`)
	await waitUntil(async () => {
		const unrecorded = new SessionRecorder()
		const headers = { authorization: `Bearer ${key}` }
		const url = `${otherCallerUrl}/v1/queues/quotes/requests`
		return (await unrecorded.send('', { method: 'POST', url, headers })).status === 401
	})
	await post(callerUrl, key)
	await post(otherCallerUrl, key)
	await recorder.send('operator', { method: 'GET', url: `${otherOperatorUrl}/readyz` })

	await expect(recorder.text).toMatchFileSnapshot('session.golden')
}, 60_000)
