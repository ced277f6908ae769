import { readFileSync } from 'node:fs'
import { createHash } from 'node:crypto'
import {
	createStatusReport,
	type StatusReport,
	parseCallerKey,
	SystemTimerService,
} from '@mastichead/core'
import { request } from 'undici'
import { afterEach, describe, expect, it } from 'vitest'
import { parse } from 'yaml'
import { createTestSettings } from '../testing/createTestSettings.js'
import { FakeProposalLog } from '../testing/FakeProposalLog.js'
import { createLogger } from '../logs/createLogger.js'
import { MetricsManager } from '../metrics/MetricsManager.js'
import type { KeyWithdrawalOutcome } from '../keys/KeyWithdrawalOutcome.js'
import { OperatorServer } from './OperatorServer.js'
import { StatusSource } from './StatusSource.js'

const FLEET: unknown = parse(readFileSync('examples/padania.yaml', 'utf8'))
const AUTHORIZATION = { authorization: 'Bearer test-token' }

class FakeKeyWithdrawals {
	outcome: KeyWithdrawalOutcome = { type: 'logged', offset: 7 }

	withdraw(): Promise<KeyWithdrawalOutcome> {
		return Promise.resolve(this.outcome)
	}
}

class FakeStatusSource extends StatusSource {
	unreadyReason: string | undefined

	constructor(private readonly log: FakeProposalLog) {
		super()
	}

	override getStatus(): StatusReport {
		return createStatusReport({ state: this.log.state, instance: 'entry-1', daemons: [] })
	}

	override getUnreadyReason(): string | undefined {
		return this.unreadyReason
	}
}

const servers: OperatorServer[] = []

async function startServer(operatorBodyBytes = 1_000_000) {
	const log = new FakeProposalLog()
	const keys = new FakeKeyWithdrawals()
	const status = new FakeStatusSource(log)
	const metrics = new MetricsManager()
	const settings = createTestSettings()
	const server = new OperatorServer({
		settings: { ...settings, limits: { ...settings.limits, operatorBodyBytes } },
		context: { log, keys, status, metrics },
		timers: new SystemTimerService(),
		logger: createLogger({ level: 'error' }),
	})
	await server.start()
	servers.push(server)
	const call = async (method: string, path: string, body?: unknown, headers = AUTHORIZATION) => {
		const response = await request(`http://127.0.0.1:${server.port ?? 0}${path}`, {
			method: method as 'GET',
			headers,
			body: body === undefined ? null : JSON.stringify(body),
		})
		const text = await response.body.text()
		const isJson = response.headers['content-type'] === 'application/json'
		return {
			status: response.statusCode,
			text,
			body: isJson ? (JSON.parse(text) as unknown) : text,
		}
	}
	return { call, log, keys, status, metrics }
}

afterEach(async () => {
	for (const server of servers.splice(0)) {
		server.destroy()
		await server.stop()
	}
})

describe('OperatorServer', () => {
	it('rejects every credential except a known token, and requires none for health checks', async () => {
		const { call, status } = await startServer()
		for (const authorization of ['', 'Bearer wrong', 'Basic test-token', 'Bearer test-token2']) {
			const response = await call('GET', '/v1/status', undefined, { authorization })
			expect(response).toMatchObject({ status: 401, body: { error: { type: 'unauthorized' } } })
		}
		expect((await call('GET', '/v1/status')).status).toBe(200)
		expect((await call('GET', '/healthz', undefined, { authorization: '' })).status).toBe(200)
		status.unreadyReason = 'not caught up with the log'
		const ready = await call('GET', '/readyz', undefined, { authorization: '' })
		expect(ready).toMatchObject({ status: 503, text: 'not caught up with the log\n' })
	})

	it('applies a document, and rejects a stale base and an invalid document', async () => {
		const { call } = await startServer()
		const first = await call('PUT', '/v1/fleet', { proposalId: 'p1', base: 0, fleet: FLEET })
		expect(first).toMatchObject({ status: 200, body: { proposalId: 'p1', version: 1 } })
		const stale = await call('PUT', '/v1/fleet', { base: 0, fleet: FLEET })
		expect(stale).toMatchObject({ status: 409, body: { error: { type: 'rejected' } } })
		const invalid = await call('PUT', '/v1/fleet', { base: 1, fleet: { name: 'x', colour: 1 } })
		expect(invalid).toMatchObject({ status: 422, body: { error: { type: 'invalid' } } })
		const got = await call('GET', '/v1/fleet')
		expect(got.body).toMatchObject({ version: 1, fleet: { name: 'padania' } })
	})

	it('returns the decision on a retry with the same id after the first response was lost', async () => {
		const { call, log } = await startServer()
		log.mode = 'answer-lost'
		const change = { proposalId: 'p1', base: 0, fleet: FLEET }
		const lost = await call('PUT', '/v1/fleet', change)
		expect(lost).toMatchObject({
			status: 504,
			body: { error: { type: 'outcome-unknown', proposalId: 'p1' } },
		})
		const again = await call('PUT', '/v1/fleet', change)
		expect(again).toMatchObject({ status: 200, body: { version: 1 } })
		expect(log.proposals).toHaveLength(1)
		log.mode = 'down'
		const down = await call('PUT', '/v1/fleet', { ...change, proposalId: 'p2', base: 1 })
		expect(down).toMatchObject({ status: 503, body: { error: { type: 'not-appended' } } })
	})

	it('returns a key once, stores only its hash, and reports how far a withdrawal reached', async () => {
		const { call, log, keys } = await startServer()
		await call('PUT', '/v1/fleet', { base: 0, fleet: FLEET })
		const issued = await call('POST', '/v1/keys', { team: 'installers' })
		const { key: text = '', id = '' } = issued.body as { key?: string; id?: string }
		const secret = parseCallerKey(text)?.secret ?? ''
		expect(log.state.keys.get(id)?.hash).toBe(createHash('sha256').update(secret).digest('hex'))
		expect(JSON.stringify(log.proposals)).not.toContain(secret)
		const list = await call('GET', '/v1/keys')
		expect(list.body).toEqual({ keys: [{ id, team: 'installers', state: 'active' }] })
		const unknown = await call('POST', '/v1/keys', { team: 'nobody' })
		expect(unknown).toMatchObject({ status: 409, body: { error: { type: 'rejected' } } })
		expect(await call('DELETE', `/v1/keys/${id}`)).toMatchObject({ status: 200 })
		keys.outcome = { type: 'spreading', reason: 'it is down' }
		expect(await call('DELETE', `/v1/keys/${id}`)).toMatchObject({
			status: 202,
			body: { reached: 'peers', reason: 'it is down' },
		})
	})

	it('drains, runs waves and lists moves', async () => {
		const { call, log } = await startServer()
		await call('PUT', '/v1/fleet', { base: 0, fleet: FLEET })
		const zone = { instance: 'entry-1', availabilityZone: 'padania-a' }
		await log.propose({ kind: 'join', id: 'j1', peerAddress: '127.0.0.1:1', ...zone })
		expect((await call('PUT', '/v1/backend-servers/nobody/drain')).status).toBe(404)
		expect((await call('PUT', '/v1/backend-servers/quotes-1/drain')).status).toBe(200)
		expect((await call('DELETE', '/v1/backend-servers/quotes-1/drain')).status).toBe(200)
		const wave = { wave: 'spring', backendServers: ['quotes-1', 'quotes-2'] }
		expect((await call('POST', '/v1/waves', wave)).status).toBe(200)
		expect((await call('POST', '/v1/waves/spring/pause', { reason: 'lunch' })).status).toBe(200)
		expect((await call('POST', '/v1/waves/spring/dance')).status).toBe(404)
		const got = await call('GET', '/v1/waves/spring')
		expect(got.body).toMatchObject({
			state: 'paused',
			next: { backendServer: 'quotes-1', waitsFor: 'the wave is paused: lunch' },
			backendServers: { 'quotes-1': 'waiting', 'quotes-2': 'waiting' },
		})
		expect((await call('GET', '/v1/moves')).body).toEqual({ moves: [] })
	})

	it('responds to malformed requests with a specific error', async () => {
		const { call } = await startServer(1_000)
		const large = await call('POST', '/v1/keys', { team: 'x'.repeat(2_000) })
		expect(large).toMatchObject({ status: 413, body: { error: { type: 'too-large' } } })
		const wrong = await call('POST', '/v1/keys', { team: 5 })
		expect(wrong).toMatchObject({ status: 400, body: { error: { type: 'malformed' } } })
		expect((await call('PUT', '/v1/status')).status).toBe(405)
		expect((await call('GET', '/v1/none')).status).toBe(404)
	})

	it('returns histograms as JSON and metrics as text', async () => {
		const { call, metrics } = await startServer()
		const times = { waitMilliseconds: 1, serviceMilliseconds: 2, totalMilliseconds: 3 }
		metrics.recordRequest({ team: 'a', queue: 'q', verdict: 'ran', ...times })
		const histograms = await call('GET', '/v1/histograms')
		expect(histograms.body).toMatchObject({ teams: [{ name: 'a', outcomes: { ran: 1 } }] })
		expect((await call('GET', '/metrics')).text).toContain(
			'mastichead_team_requests_total{team="a"'
		)
	})
})
