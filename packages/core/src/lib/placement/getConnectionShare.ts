/**
 * Returns the connections that one entry instance may hold to a backend server. Equal static shares
 * need no coordination, and no entry instance needs more connections than the server has slots.
 *
 * @param server - slots and maximum connections of the backend server
 * @param instances - entry instances that share the server, at least 1
 *
 * @public
 */
export function getConnectionShare(
	server: { readonly slots: number; readonly connections: number },
	instances: number
): number {
	const share = Math.floor(server.connections / Math.max(1, instances))
	return Math.max(1, Math.min(server.slots, share))
}
