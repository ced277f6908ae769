import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

/**
 * Starts listening on loopback.
 *
 * @param port - 0 for any free port
 * @returns the port on which the server listens
 * @internal
 */
export async function listen(server: Server, port: number): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject)
		server.listen(port, '127.0.0.1', () => {
			server.off('error', reject)
			resolve()
		})
	})
	return (server.address() as AddressInfo).port
}
