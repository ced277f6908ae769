import type { ClientLimits } from './ClientLimits.js'
import { getMemoryLimits } from './getMemoryLimits.js'

/** Descriptors that the runtime keeps for files. */
const FILE_DESCRIPTORS = 200
/** Share of the other descriptors that clients may take; the rest is for backend servers and the log. */
const DESCRIPTOR_SHARE = 0.4
const CONNECTIONS_PER_MEGABYTE = 6
const MINIMUM_CONNECTIONS = 64

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
		...getMemoryLimits(memoryMegabytes),
	}
}
