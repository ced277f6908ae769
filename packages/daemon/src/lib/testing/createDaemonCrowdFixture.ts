import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createConnection, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { connect as connectTls } from 'node:tls'
import { Crowd, Deployment, ProcessProbe, createFleetText, runCommand } from '@mastichead/standins'
import { Agent, request } from 'undici'
import { createTestCertificate } from './createTestCertificate.js'
import type { DaemonCrowdFixture } from './DaemonCrowdFixture.js'

const NODE_OPTIONS = ['--max-old-space-size=96', '--max-semi-space-size=2']
/** Daemon that the crowds press; the other one has the defaults. */
const PRESSED = 'zone-21'
/** Time in which an ordinary call is answered, and the pause before it is sent again, in milliseconds. */
const ANSWER_TIME = 60_000
const RETRY_INTERVAL = 500
/** Addresses from which the clients of a crowd connect; ordinary callers use another one. */
const CROWD_ADDRESSES = 100

/**
 * Starts a platform, a backend server and two daemons, one of which has few resources.
 *
 * @param options.basePort - port of the platform; the other ports are at fixed offsets
 * @param options.isTls - whether that daemon serves TLS on the ports for callers and operators
 * @param options.limits - limits of its settings that differ from their defaults
 * @internal
 */
export async function createDaemonCrowdFixture(options: {
	readonly basePort: number
	readonly isTls: boolean
	readonly limits: Readonly<Record<string, number>>
}): Promise<DaemonCrowdFixture> {
	const { basePort, isTls, limits } = options
	const folder = mkdtempSync(join(tmpdir(), 'daemon-crowd-'))
	const fleetFile = join(folder, 'fleet.yaml')
	writeFileSync(fleetFile, createFleetText({ firstPort: basePort + 1, servers: 1 }))
	const tls = isTls ? createTlsFiles(folder) : undefined
	const constraints = { instance: PRESSED, nodeOptions: NODE_OPTIONS, tls, limits }
	const deployment = new Deployment({
		fleetFile,
		basePort,
		daemons: 2,
		runMilliseconds: 10,
		constraints,
	})
	await deployment.start()
	const access = { operatorUrls: deployment.operatorUrls.slice(0, 1), token: deployment.token }
	await runCommand(access, ['apply', fleetFile])
	const issued = await runCommand(access, ['keys', 'issue', 'desk'])
	const key = /mh_[0-9a-f]{16}_[A-Za-z0-9_-]+/.exec(issued.output)?.[0] ?? ''
	const pressed = deployment.instances.find(({ name }) => name === PRESSED)
	if (!pressed) throw new Error(`the deployment has no instance ${PRESSED}`)
	const ports = {
		callers: pressed.callerPort,
		operators: pressed.operatorPort,
		peers: pressed.peerPort,
	}
	const probe = new ProcessProbe(deployment.processes.getPid(PRESSED) ?? 0)
	// Ordinary calls come over new connections, which a daemon has to accept beside the crowd.
	const agent = new Agent({ pipelining: 0, connect: { rejectUnauthorized: false } })
	const scheme = isTls ? 'https' : 'http'
	const crowds: Crowd[] = []
	const retry = async (call: () => Promise<number>): Promise<unknown> => {
		const deadline = Date.now() + ANSWER_TIME
		let answer: unknown
		while (Date.now() < deadline && probe.isAlive()) {
			answer = await call().catch((error: unknown) => error)
			if (answer === 200) return answer
			await delay(RETRY_INTERVAL)
		}
		return answer
	}
	return {
		probe,
		credentials: { callers: key, operators: deployment.token, peers: '' },
		createCrowd: (port) => {
			let clients = 0
			const crowd = new Crowd(() => {
				clients += 1
				const localAddress = `127.1.0.${1 + (clients % CROWD_ADDRESSES)}`
				return open(ports[port], localAddress, isTls && port !== 'peers')
			})
			crowds.push(crowd)
			return crowd
		},
		postQuote: () =>
			retry(async () => {
				const url = `${scheme}://127.0.0.1:${ports.callers}/v1/queues/quotes/requests`
				const headers = { authorization: `Bearer ${key}` }
				const body = 'quote'
				return send(url, { method: 'POST', dispatcher: agent, headers, body })
			}),
		readMetrics: () =>
			retry(() =>
				send(`${scheme}://127.0.0.1:${ports.operators}/metrics`, {
					dispatcher: agent,
					headers: { authorization: `Bearer ${deployment.token}` },
				})
			),
		close: async () => {
			for (const crowd of crowds) crowd.leave()
			await agent.close()
			for (const { name } of deployment.instances) deployment.processes.signal(name, 'SIGKILL')
			await deployment.stop()
			rmSync(folder, { recursive: true, force: true })
		},
	}
}

async function send(url: string, options: Parameters<typeof request>[1]): Promise<number> {
	const { statusCode, body } = await request(url, options)
	await body.dump()
	return statusCode
}

function open(port: number, localAddress: string, isTls: boolean): Socket {
	const socket = createConnection({ host: '127.0.0.1', port, localAddress })
	if (!isTls) return socket
	socket.on('error', () => undefined)
	return connectTls({ socket, rejectUnauthorized: false })
}

/** Creates a certificate and its key, and returns their files. */
function createTlsFiles(folder: string) {
	const { certificate, key } = createTestCertificate({ commonName: 'entry' })
	const files = {
		certificateFile: join(folder, 'certificate.pem'),
		keyFile: join(folder, 'key.pem'),
	}
	writeFileSync(files.certificateFile, certificate)
	writeFileSync(files.keyFile, key)
	return files
}
