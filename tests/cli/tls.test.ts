import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SystemTimerService } from '../../packages/core/src/index.js'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { runCli } from '../../packages/cli/src/lib/runCli.js'
import { createLogger } from '../../packages/daemon/src/lib/logs/createLogger.js'
import { MetricsManager } from '../../packages/daemon/src/lib/metrics/MetricsManager.js'
import { OperatorServer } from '../../packages/daemon/src/lib/operators/OperatorServer.js'
import { StatusManager } from '../../packages/daemon/src/lib/operators/StatusManager.js'
import { createTestCertificate } from '../../packages/daemon/src/lib/testing/createTestCertificate.js'
import { createTestSettings } from '../../packages/daemon/src/lib/testing/createTestSettings.js'
import { FakeProposalLog } from '../../packages/daemon/src/lib/testing/FakeProposalLog.js'

const directory = mkdtempSync(join(tmpdir(), 'mastichead-'))
const timers = new SystemTimerService()
const log = new FakeProposalLog()
const authority = createTestCertificate({ commonName: 'authority' })
const own = createTestCertificate({ commonName: 'daemon', issuer: authority })
const settings = createTestSettings()

function write(name: string, text: string): string {
	const path = join(directory, name)
	writeFileSync(path, text)
	return path
}

const tls = {
	certificateFile: write('cert.pem', own.certificate),
	keyFile: write('key.pem', own.key),
}
const operators = { ...settings.listeners.operators, tls }
const server = new OperatorServer({
	settings: { ...settings, listeners: { ...settings.listeners, operators } },
	context: {
		log,
		keys: { withdraw: () => Promise.resolve({ type: 'logged', offset: 0 }) },
		status: new StatusManager({
			timers,
			instance: 'entry-1',
			availabilityZone: 'zone-a',
			log: { state: log.state, isReady: true, platformContactAt: undefined },
			loads: { getPools: () => [], getOwnLoad: () => new Map() },
			getUsable: () => 0,
			getPeers: () => [],
			isLeaving: () => false,
		}),
		metrics: new MetricsManager(),
	},
	timers,
	logger: createLogger({ level: 'error' }),
})

async function run(...words: string[]) {
	let output = ''
	const code = await runCli([...words, '--server', `https://127.0.0.1:${server.port ?? 0}`], {
		environment: { MASTICHEAD_TOKEN: 'test-token' },
		timers,
		writeOutput: (text) => (output += text),
		writeError: (text) => (output += text),
		signal: new AbortController().signal,
	})
	return { code, output }
}

beforeAll(() => server.start())

afterAll(async () => {
	server.destroy()
	await server.stop()
	rmSync(directory, { recursive: true })
})

describe('mastichead over TLS', () => {
	it('reaches a daemon whose certificate the given authority signed', async () => {
		const file = write('authority.pem', authority.certificate)
		const applied = await run('apply', 'examples/bretagne.yaml', '--certificate-authority', file)
		expect(applied).toEqual({ code: 0, output: 'bretagne is in force as version 1\n' })
		const status = await run('status', '--certificate-authority', file)
		expect(status.output).toContain('fleet bretagne, version 1')
	})

	it('sends nothing to a daemon that it cannot trust', async () => {
		const { code, output } = await run('apply', 'examples/bretagne.yaml', '--base', '1')
		expect(code).toBe(3)
		expect(output).toContain('nothing changed')
		expect(log.proposals).toHaveLength(1)
	})
})
