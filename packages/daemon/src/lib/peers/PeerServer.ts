import {
	Server,
	status,
	type handleUnaryCall,
	type sendUnaryData,
	type ServerCredentials,
} from '@grpc/grpc-js'
import {
	type BorrowRequest,
	type ClaimRequest,
	type Digest,
	PeerService,
	type ReadLogRequest,
	type ReturnRequest,
	type SettleRequest,
	type SlotGrants,
	type SlotReport,
} from '@mastichead/protocol'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import type { Logger } from 'winston'
import { PeerConnections } from './PeerConnections.js'
import type { PeerHandler } from './PeerHandler.js'
import { peerChannelOptions } from './peerChannelOptions.js'

interface Options {
	readonly host: string
	/** 0 for any free port. */
	readonly port: number
	/** Open connections at most. */
	readonly connectionLimit: number
	readonly credentials: ServerCredentials
	readonly handler: PeerHandler
	readonly logger: Logger
}

/**
 * gRPC server for the calls of other daemons.
 *
 * @internal
 */
export class PeerServer {
	private readonly server = new Server(peerChannelOptions)
	/** Accepts the connections, since the gRPC server itself has no limit of them. */
	private readonly listener = createServer()
	private readonly connections: PeerConnections

	constructor(private readonly options: Options) {
		const { handler, connectionLimit } = options
		this.connections = new PeerConnections(connectionLimit, (socket) => {
			this.reportDisconnection(socket)
		})
		this.server.addService(PeerService, {
			exchange: this.createHandler((digest: Digest) => handler.exchange(digest)),
			borrow: this.createHandler((request: BorrowRequest) => handler.lend(request)),
			return: this.createHandler((request: ReturnRequest) => {
				handler.acceptReturns(request)
				return {}
			}),
			readLog: this.createHandler((request: ReadLogRequest) => handler.readLog(request)),
			claim: this.createHandler((request: ClaimRequest) => ({ outcome: handler.claim(request) })),
			settle: this.createHandler((request: SettleRequest) => {
				handler.settle(request)
				return {}
			}),
			reportSlots: this.createHandler((report: SlotReport) => handler.reportSlots(report)),
			grantSlots: this.createHandler((grants: SlotGrants) => {
				handler.acceptGrants(grants)
				return {}
			}),
		} satisfies Record<keyof typeof PeerService, unknown>)
	}

	/**
	 * Opens the port; rejects if that fails.
	 *
	 * @returns the port number
	 */
	listen(): Promise<number> {
		const { host, port, credentials } = this.options
		const injector = this.server.createConnectionInjector(credentials)
		this.listener.on('connection', (socket) => {
			this.connections.add(socket)
			if (!socket.destroyed) injector.injectConnection(socket)
		})
		return new Promise((resolve, reject) => {
			this.listener.once('error', reject)
			this.listener.listen(port, host, () => {
				this.listener.off('error', reject)
				this.listener.on('error', (error) => {
					this.options.logger.error('connections-failed', {
						listener: 'peers',
						reason: error.message,
					})
				})
				resolve((this.listener.address() as AddressInfo).port)
			})
		})
	}

	close(): void {
		this.listener.close()
		this.server.forceShutdown()
	}

	private reportDisconnection(socket: Socket): void {
		const client = socket.remoteAddress
		this.options.logger.warn('peer-disconnected', { client, bytes: socket.bytesRead })
	}

	private createHandler<Request, Reply>(createReply: (request: Request) => Reply) {
		const handle: handleUnaryCall<Request, Reply> = ({ request }, callback) => {
			this.respond(() => createReply(request), callback)
		}
		return handle
	}

	private respond<Reply>(createReply: () => Reply, callback: sendUnaryData<Reply>): void {
		try {
			callback(null, createReply())
		} catch (error) {
			const reason = error instanceof Error ? error.stack : String(error)
			this.options.logger.error('peer-call-failed', { reason })
			callback({ code: status.INTERNAL, details: 'internal error' })
		}
	}
}
