import { createServer } from 'node:net'

/**
 * Returns a free port on loopback.
 *
 * @internal
 */
export async function getFreePort(): Promise<number> {
	const server = createServer()
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
	const address = server.address()
	await new Promise((resolve) => server.close(resolve))
	if (address === null || typeof address === 'string') throw new Error('the server has no port')
	return address.port
}
