import type { ClientLimits } from './ClientLimits.js'

/** Descriptors that the runtime keeps for files. */
const FILE_DESCRIPTORS = 200
/** Share of the other descriptors that clients may take; the rest is for backend servers and the log. */
const DESCRIPTOR_SHARE = 0.4
const CONNECTIONS_PER_MEGABYTE = 6
const MINIMUM_CONNECTIONS = 64
const CALLS_PER_MEGABYTE = 4
const CALLS_PER_CONNECTION = 32
/** Share of the memory that bodies may take. */
const BODY_SHARE = 0.08
/** Share of the memory that data may take which waits to be parsed. */
const UNPARSED_SHARE = 0.04
const BYTES_PER_MEGABYTE = 1_048_576

/**
 * Derives the limits of clients from the resources of the instance.
 *
 * @param resources.memoryMegabytes - memory that the process may use
 * @param resources.descriptors - descriptors that the process may have open
 * @public
 */
export function getClientLimits(resources: {
	readonly memoryMegabytes: number
	readonly descriptors: number
}): ClientLimits {
	const { memoryMegabytes, descriptors } = resources
	const byDescriptors = Math.floor((descriptors - FILE_DESCRIPTORS) * DESCRIPTOR_SHARE)
	const byMemory = Math.floor(memoryMegabytes * CONNECTIONS_PER_MEGABYTE)
	return {
		connections: Math.max(MINIMUM_CONNECTIONS, Math.min(byDescriptors, byMemory)),
		calls: Math.floor(memoryMegabytes * CALLS_PER_MEGABYTE),
		callsPerConnection: CALLS_PER_CONNECTION,
		bodyBytes: Math.floor(memoryMegabytes * BYTES_PER_MEGABYTE * BODY_SHARE),
		unparsedBytes: Math.floor(memoryMegabytes * BYTES_PER_MEGABYTE * UNPARSED_SHARE),
	}
}
