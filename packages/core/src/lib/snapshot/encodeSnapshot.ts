import { createHash } from 'node:crypto'
import { gzipSync } from 'node:zlib'
import type { FleetState } from '../state/FleetState.js'
import { encodeState } from './encodeState.js'
import type { Snapshot } from './Snapshot.js'

/** Length of a part in base64 characters. */
const PART_LENGTH = 48 * 1024
/** Fastest compression level. */
const COMPRESSION_LEVEL = 1

/**
 * Encodes the state as a snapshot at its offset.
 *
 * @public
 */
export function encodeSnapshot(state: FleetState): Snapshot {
	const text = encodeState(state)
	const hash = createHash('sha256').update(text).digest('hex')
	const body = gzipSync(text, { level: COMPRESSION_LEVEL }).toString('base64')
	const parts: string[] = []
	for (let start = 0; start < body.length; start += PART_LENGTH) {
		parts.push(body.slice(start, start + PART_LENGTH))
	}
	return { through: state.offset, hash, parts }
}
