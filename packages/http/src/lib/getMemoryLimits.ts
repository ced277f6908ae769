import type { ClientLimits } from './ClientLimits.js'

const CALLS_PER_MEGABYTE = 4
const CALLS_PER_CONNECTION = 32
/** Share of the memory that bodies may take. */
const BODY_SHARE = 0.08
/** Share of the memory that data may take which waits to be parsed. */
const UNPARSED_SHARE = 0.04
const BYTES_PER_MEGABYTE = 1_048_576

/**
 * Derives the limits of what clients hold beside their connections.
 *
 * @param memoryMegabytes - memory that the process may use
 * @public
 */
export function getMemoryLimits(memoryMegabytes: number): Omit<ClientLimits, 'connections'> {
	const bytes = memoryMegabytes * BYTES_PER_MEGABYTE
	return {
		calls: Math.floor(memoryMegabytes * CALLS_PER_MEGABYTE),
		callsPerConnection: CALLS_PER_CONNECTION,
		bodyBytes: Math.floor(bytes * BODY_SHARE),
		unparsedBytes: Math.floor(bytes * UNPARSED_SHARE),
	}
}
