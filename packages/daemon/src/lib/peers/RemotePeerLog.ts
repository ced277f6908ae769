import type { ReadLogReply } from '@mastichead/protocol'
import { PeerLog } from '../log/PeerLog.js'
import type { PeerLogPage } from '../log/PeerLogPage.js'
import type { Peer } from './Peer.js'

const READ_TIMEOUT_MILLISECONDS = 3000

/**
 * Reads the log of a peer over gRPC.
 *
 * @internal
 */
export class RemotePeerLog extends PeerLog {
	constructor(private readonly peer: Peer) {
		super()
	}

	override get name(): string {
		return this.peer.instance ?? this.peer.address
	}

	override get reportedOffset(): number {
		return this.peer.offset
	}

	override async readLog(from: number): Promise<PeerLogPage | undefined> {
		const reply = await this.peer.client.call<ReadLogReply>(
			(stub, callback) => stub.readLog({ from }, callback),
			READ_TIMEOUT_MILLISECONDS
		)
		if (!reply) return undefined
		if (reply.snapshot) return { type: 'snapshot', snapshot: reply.snapshot }
		return { type: 'records', records: reply.entries }
	}
}
