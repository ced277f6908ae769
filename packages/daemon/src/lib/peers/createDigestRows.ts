import { ServerLoad, TeamLoad } from '@mastichead/protocol'
import type { DigestRow } from './DigestRow.js'

/** Maximum size of the tag and length that precede a row in a digest. */
const ROW_HEADER_BYTES = 4

/**
 * Encodes loads as digest rows.
 *
 * @internal
 */
export function createDigestRows(
	teams: readonly TeamLoad[],
	servers: readonly ServerLoad[]
): DigestRow[] {
	const rows: DigestRow[] = []
	for (const team of teams) {
		rows.push({ ...createRow(`team ${team.team}`, TeamLoad.encode(team).finish()), team })
	}
	for (const server of servers) {
		const encoded = ServerLoad.encode(server).finish()
		rows.push({ ...createRow(`server ${server.server}`, encoded), server })
	}
	return rows
}

function createRow(key: string, bytes: Uint8Array): DigestRow {
	const encoded = Buffer.from(bytes).toString('latin1')
	return { key, encoded, bytes: bytes.length + ROW_HEADER_BYTES }
}
