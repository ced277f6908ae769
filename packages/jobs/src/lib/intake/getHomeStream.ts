import { createHash } from 'node:crypto'
import type { JobId } from '@mastichead/core'
import type { IntakeStream } from '../ports/IntakeStream.js'
import { intakeStreams } from '../ports/intakeStreams.js'

/**
 * Returns the stream that holds all records of callers about an id, so that their order is that of their
 * offsets. It must never change for an id that is in use: all versions that run together agree on it.
 *
 * @internal
 */
export function getHomeStream(id: JobId): IntakeStream {
	const number = createHash('sha256').update(id).digest().readUInt32BE(0)
	return intakeStreams[number % intakeStreams.length] ?? 'intake/0'
}
