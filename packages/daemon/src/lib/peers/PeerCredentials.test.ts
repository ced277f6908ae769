import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { ChannelCredentials, Server } from '@grpc/grpc-js'
import { PeerClient, PeerService } from '@mastichead/protocol'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createTestCertificate } from '../testing/createTestCertificate.js'
import { PeerCredentials } from './PeerCredentials.js'

const REFRESH_MILLISECONDS = 20
const CALL_MILLISECONDS = 2_000

let directory = ''
const cleanups: (() => void)[] = []

function createFiles(name: string, authority = createTestCertificate({ commonName: 'authority' })) {
	const issued = createTestCertificate({ commonName: name, issuer: authority })
	const write = (file: string, text: string) => {
		const path = join(directory, `${name}-${file}`)
		writeFileSync(path, text)
		return path
	}
	return {
		authority,
		tls: {
			certificateFile: write('cert.pem', issued.certificate),
			keyFile: write('key.pem', issued.key),
			clientCertificateAuthorityFile: write('ca.pem', authority.certificate),
		},
	}
}

function startServer(credentials: PeerCredentials): Promise<number> {
	const server = new Server()
	server.addService(PeerService, {
		return: (_call: unknown, callback: (error: null, reply: object) => void) => {
			callback(null, {})
		},
	})
	cleanups.push(() => {
		server.forceShutdown()
	})
	return new Promise((resolve, reject) => {
		server.bindAsync('127.0.0.1:0', credentials.server, (error, port) => {
			if (error) reject(error)
			else resolve(port)
		})
	})
}

/** Calls a peer once over a connection of its own. */
function call(port: number, credentials: ChannelCredentials): Promise<'answered' | 'refused'> {
	const client = new PeerClient(`127.0.0.1:${port}`, credentials, {
		'grpc.use_local_subchannel_pool': 1,
	})
	const deadline = Date.now() + CALL_MILLISECONDS
	return new Promise((resolve) => {
		client.waitForReady(deadline, (unready) => {
			if (unready) {
				client.close()
				resolve('refused')
				return
			}
			client.return({ borrower: 'a', loans: [] }, (error) => {
				client.close()
				resolve(error ? 'refused' : 'answered')
			})
		})
	})
}

beforeEach(() => {
	directory = mkdtempSync(join(tmpdir(), 'mastichead-'))
})

afterEach(() => {
	for (const close of cleanups.splice(0)) close()
	rmSync(directory, { recursive: true })
})

describe('PeerCredentials', () => {
	it('connects peers with certificates of the same authority', async () => {
		const { tls, authority } = createFiles('first')
		const port = await startServer(new PeerCredentials(tls, REFRESH_MILLISECONDS))
		const other = new PeerCredentials(createFiles('second', authority).tls, REFRESH_MILLISECONDS)
		expect(await call(port, other.channel)).toBe('answered')
	})

	it('refuses clients without a certificate of the authority', async () => {
		const { tls, authority } = createFiles('first')
		const port = await startServer(new PeerCredentials(tls, REFRESH_MILLISECONDS))
		const anonymous = ChannelCredentials.createSsl(Buffer.from(authority.certificate))
		expect(await call(port, anonymous)).toBe('refused')
		expect(await call(port, ChannelCredentials.createInsecure())).toBe('refused')
	})

	it('loads changed files without a restart', async () => {
		const { tls } = createFiles('first')
		const port = await startServer(new PeerCredentials(tls, REFRESH_MILLISECONDS))
		const { tls: replaced } = createFiles('first')
		const renewed = new PeerCredentials(replaced, REFRESH_MILLISECONDS)
		await expect.poll(() => call(port, renewed.channel), { timeout: 20_000 }).toBe('answered')
	})

	it('calls in plain text without TLS', async () => {
		const credentials = new PeerCredentials(undefined)
		const port = await startServer(credentials)
		expect(await call(port, credentials.channel)).toBe('answered')
	})
})
