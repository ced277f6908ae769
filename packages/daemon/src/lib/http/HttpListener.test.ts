import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import type { RequestListener } from 'node:http'
import { connect as connectPlain, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { connect, type ConnectionOptions } from 'node:tls'
import { VirtualTimerService } from '@mastichead/core'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createTestCertificate } from '../testing/createTestCertificate.js'
import { createTestSettings } from '../testing/createTestSettings.js'
import { createLogger } from '../logs/createLogger.js'
import type { ListenerSettings } from '../settings/ListenerSettings.js'
import { HttpListener } from './HttpListener.js'

const RELOAD_MILLISECONDS = 5_000

let directory = ''
let listener: HttpListener | undefined
const timers = new VirtualTimerService()

function write(name: string, text: string): string {
	const path = join(directory, name)
	writeFileSync(path, text)
	return path
}

async function start(
	tls: ListenerSettings['tls'],
	limits: Partial<ReturnType<typeof createTestSettings>['limits']> = {},
	handler: RequestListener = (request, response) => {
		request.resume()
		response.end('ok')
	}
): Promise<number> {
	listener = new HttpListener({
		name: 'callers',
		listener: { host: '127.0.0.1', port: 0, tls },
		limits: { ...createTestSettings().limits, ...limits },
		timers,
		logger: createLogger({ level: 'error' }),
		handler,
	})
	await listener.start()
	return listener.port ?? 0
}

/** Connects and returns the common name of the server, or the error that ended the connection. */
function getServerName(port: number, options: ConnectionOptions): Promise<string> {
	return new Promise((resolve) => {
		let name = ''
		const socket = connect({ host: '127.0.0.1', port, ...options }, () => {
			name = String(socket.getPeerCertificate().subject.CN)
			socket.write('GET / HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n')
		})
		socket.on('data', () => {
			resolve(name)
		})
		socket.on('error', (error: Error) => {
			resolve(`error: ${error.message}`)
		})
		socket.on('close', () => {
			resolve('error: closed')
		})
	})
}

function readAll(socket: Socket): Promise<string> {
	return new Promise((resolve) => {
		let text = ''
		socket.on('data', (chunk) => (text += String(chunk)))
		socket.on('error', () => undefined)
		socket.on('close', () => {
			resolve(text)
		})
	})
}

beforeEach(() => {
	directory = mkdtempSync(join(tmpdir(), 'mastichead-'))
})

afterEach(async () => {
	listener?.destroy()
	await listener?.stop()
	rmSync(directory, { recursive: true })
})

describe('HttpListener with TLS', () => {
	it('serves new certificates once the files change, and keeps the old ones if they are invalid', async () => {
		const authority = createTestCertificate({ commonName: 'authority' })
		const first = createTestCertificate({ commonName: 'first', issuer: authority })
		const second = createTestCertificate({ commonName: 'second', issuer: authority })
		const certificateFile = write('cert.pem', first.certificate)
		const keyFile = write('key.pem', first.key)
		const port = await start({ certificateFile, keyFile })
		const client = { ca: authority.certificate }
		expect(await getServerName(port, client)).toBe('first')
		write('cert.pem', 'broken')
		timers.advance(RELOAD_MILLISECONDS)
		expect(await getServerName(port, client)).toBe('first')
		write('cert.pem', second.certificate)
		write('key.pem', second.key)
		timers.advance(RELOAD_MILLISECONDS)
		expect(await getServerName(port, client)).toBe('second')
	})

	it('requires a client certificate signed by the authority when one is set', async () => {
		const authority = createTestCertificate({ commonName: 'authority' })
		const stranger = createTestCertificate({ commonName: 'stranger' })
		const server = createTestCertificate({ commonName: 'server', issuer: authority })
		const client = createTestCertificate({ commonName: 'client', issuer: authority })
		const port = await start({
			certificateFile: write('cert.pem', server.certificate),
			keyFile: write('key.pem', server.key),
			clientCertificateAuthorityFile: write('ca.pem', authority.certificate),
		})
		const ca = authority.certificate
		const trusted = { ca, cert: client.certificate, key: client.key }
		expect(await getServerName(port, trusted)).toBe('server')
		expect(await getServerName(port, { ca })).toMatch(/^error/)
		const untrusted = { ca, cert: stranger.certificate, key: stranger.key }
		expect(await getServerName(port, untrusted)).toMatch(/^error/)
	})
})

describe('HttpListener limits', () => {
	it('rejects headers over the limit, and headers that are not received in time', async () => {
		const port = await start(undefined, { headerBytes: 1_000, headersTimeoutMilliseconds: 200 })
		const large = connectPlain(port, '127.0.0.1')
		large.write(`GET / HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(2_000)}\r\n\r\n`)
		expect(await readAll(large)).toMatch(/^HTTP\/1.1 431 /)
		const slow = connectPlain(port, '127.0.0.1')
		slow.write('GET / HTTP/1.1\r\n')
		expect(await readAll(slow)).toMatch(/^HTTP\/1.1 408 /)
	})

	it('limits the open connections of a caller and does not count closed ones', async () => {
		const port = await start(undefined, { connectionsPerCaller: 1 })
		const first = connectPlain(port, '127.0.0.1')
		await new Promise((resolve) => first.once('connect', resolve))
		expect(await readAll(connectPlain(port, '127.0.0.1'))).toBe('')
		first.destroy()
		await expect
			.poll(async () => {
				const next = connectPlain(port, '127.0.0.1')
				next.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n')
				return (await readAll(next)).slice(0, 15)
			})
			.toBe('HTTP/1.1 200 OK')
	})

	it('completes a pending response during a stop, then closes the connection', async () => {
		let respond = (): unknown => undefined
		const port = await start(undefined, {}, (_request, response) => {
			respond = () => response.end('late')
		})
		const socket = connectPlain(port, '127.0.0.1')
		socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n')
		const text = readAll(socket)
		await expect.poll(() => listener?.connectionCount).toBe(1)
		const stopped = listener?.stop()
		await expect.poll(() => respond()).toBeDefined()
		await expect
			.poll(() => {
				timers.advance(50)
				return listener?.connectionCount
			})
			.toBe(0)
		await stopped
		expect(await text).toMatch(/^HTTP\/1.1 200 OK[^]*late$/)
	})
})
