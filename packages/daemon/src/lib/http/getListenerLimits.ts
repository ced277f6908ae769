import { getHeapStatistics } from 'node:v8'
import { getMemoryLimits, type ClientLimits } from '@mastichead/http'
import type { Settings } from '../settings/Settings.js'

const BYTES_PER_MEGABYTE = 1_048_576

/**
 * Returns the limits of the clients of one listener. Those that the settings leave open follow from the largest
 * heap of the process.
 *
 * @internal
 */
export function getListenerLimits(limits: Settings['limits']): ClientLimits {
	const memoryMegabytes = getHeapStatistics().heap_size_limit / BYTES_PER_MEGABYTE
	const derived = getMemoryLimits(memoryMegabytes)
	return {
		connections: limits.connections,
		calls: limits.requests ?? derived.calls,
		callsPerConnection: limits.requestsPerConnection,
		bodyBytes: limits.bufferedBodyBytes ?? derived.bodyBytes,
		unparsedBytes: limits.unparsedBytes ?? derived.unparsedBytes,
	}
}
