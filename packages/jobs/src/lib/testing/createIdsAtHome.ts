import type { JobId } from '@mastichead/core'
import { getHomeStream } from '../intake/getHomeStream.js'
import type { IntakeStream } from '../ports/IntakeStream.js'

/**
 * Creates ids whose records are all in one stream.
 *
 * @internal
 */
export function createIdsAtHome(stream: IntakeStream, count: number): JobId[] {
	const ids: JobId[] = []
	for (let number = 1; ids.length < count; number += 1) {
		const id = number.toString(16).padStart(16, '0')
		if (getHomeStream(id) === stream) ids.push(id)
	}
	return ids
}
