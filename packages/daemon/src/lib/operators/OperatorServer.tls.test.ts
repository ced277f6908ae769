import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SystemTimerService } from '@mastichead/core'
import { Agent, request } from 'undici'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { createLogger } from '../logs/createLogger.js'
import { MetricsManager } from '../metrics/MetricsManager.js'
import { createTestCertificate } from '../testing/createTestCertificate.js'
import { createTestSettings } from '../testing/createTestSettings.js'
import { FakeProposalLog } from '../testing/FakeProposalLog.js'
import { OperatorServer } from './OperatorServer.js'
import { StatusManager } from './StatusManager.js'

const directory = mkdtempSync(join(tmpdir(), 'mastichead-'))
const authority = createTestCertificate({ commonName: 'authority' })

function createServer(): OperatorServer {
	const issued = createTestCertificate({ commonName: 'daemon', issuer: authority })
	const certificateFile = join(directory, 'cert.pem')
	const keyFile = join(directory, 'key.pem')
	writeFileSync(certificateFile, issued.certificate)
	writeFileSync(keyFile, issued.key)
	const settings = createTestSettings()
	const operators = { ...settings.listeners.operators, tls: { certificateFile, keyFile } }
	const timers = new SystemTimerService()
	const log = new FakeProposalLog()
	const status = new StatusManager({
		timers,
		instance: 'entry-1',
		availabilityZone: 'zone-a',
		log: { state: log.state, isReady: true, platformContactAt: undefined },
		loads: { getPools: () => [], getOwnLoad: () => new Map() },
		getUsableAllowance: () => 0,
		getPeerStatuses: () => [],
		isLeaving: () => false,
	})
	const keys = { withdraw: () => Promise.resolve({ type: 'logged', offset: 0 } as const) }
	return new OperatorServer({
		settings: { ...settings, listeners: { ...settings.listeners, operators } },
		context: { log, keys, status, metrics: new MetricsManager() },
		timers,
		logger: createLogger({ level: 'error' }),
	})
}

const server = createServer()

beforeAll(() => server.start())

afterAll(async () => {
	server.destroy()
	await server.stop()
	rmSync(directory, { recursive: true })
})

describe('OperatorServer over TLS', () => {
	it('responds to a client that trusts its authority, and fails for one that does not', async () => {
		const url = `https://127.0.0.1:${server.port ?? 0}/readyz`
		const trusting = new Agent({ connect: { ca: authority.certificate } })
		const response = await request(url, { dispatcher: trusting })
		expect([response.statusCode, await response.body.text()]).toEqual([200, 'ready\n'])
		await trusting.destroy()
		await expect(request(url, { dispatcher: new Agent() })).rejects.toThrow()
	})
})
