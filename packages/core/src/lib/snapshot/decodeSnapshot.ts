import { createHash } from 'node:crypto'
import { gunzipSync } from 'node:zlib'
import { decodeState } from './decodeState.js'
import type { Snapshot } from './Snapshot.js'
import type { SnapshotDecodeResult } from './SnapshotDecodeResult.js'

/** Maximum size of a decompressed snapshot. */
const MAXIMUM_DECODED_BYTES = 64 * 1024 * 1024

/**
 * Decodes a snapshot, and checks its hash and its offset.
 *
 * @public
 */
export function decodeSnapshot(snapshot: Snapshot): SnapshotDecodeResult {
	let text: string
	try {
		const body = Buffer.from(snapshot.parts.join(''), 'base64')
		text = gunzipSync(body, { maxOutputLength: MAXIMUM_DECODED_BYTES }).toString()
	} catch (error) {
		return { type: 'damaged', reason: String(error) }
	}
	const hash = createHash('sha256').update(text).digest('hex')
	if (hash !== snapshot.hash) return { type: 'damaged', reason: 'the hash does not match' }
	const state = decodeState(text)
	if (state.offset !== snapshot.through) {
		return { type: 'damaged', reason: `offset ${state.offset}, not ${snapshot.through}` }
	}
	return { type: 'decoded', state }
}
