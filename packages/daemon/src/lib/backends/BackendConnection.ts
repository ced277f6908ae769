import type { Milliseconds } from '@mastichead/core'
import type { Socket } from 'node:net'
import { buildConnector, Client, type Dispatcher } from 'undici'

/** Timeout for opening a connection. */
const CONNECT_TIMEOUT_MILLISECONDS = 1000

/** Maximum size of a response head. */
const MAXIMUM_HEADER_BYTES = 32_768

/**
 * A connection to a backend server that carries one request at a time. The first request opens it;
 * once closed it is never reopened.
 *
 * @internal
 */
export class BackendConnection {
	/** End of the last request; valid only while the connection is idle. */
	idleSince: Milliseconds = 0
	/** Whether part of the body of the running request is still unsent. */
	isSendingBody = false
	private readonly client: Client
	private socket: Socket | undefined
	/** Bytes written to the socket before the running request. */
	private bytesWrittenBefore = 0
	private isClosed = false
	private isRetired = false

	/** @param onClose - called once, when either side closes the connection */
	constructor(
		address: string,
		private readonly onClose: () => void
	) {
		const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS })
		this.client = new Client(`http://${address}`, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			maxHeaderSize: MAXIMUM_HEADER_BYTES,
			connect: (options, callback) => {
				if (this.isClosed || this.socket) {
					callback(new Error('the connection is closed'), null)
					return
				}
				connect(options, (error, socket) => {
					if (error) {
						callback(error, null)
						return
					}
					this.socket = socket
					callback(null, socket)
				})
			},
		})
		this.client.on('disconnect', () => {
			this.close()
		})
		this.client.on('connectionError', () => {
			this.close()
		})
	}

	/** Whether the connection was ever established; it may be closed by now. */
	get wasOpened(): boolean {
		return this.socket !== undefined
	}

	/** Whether any byte of the running request was handed to the operating system for sending. */
	get hasWrittenRequest(): boolean {
		return this.socket !== undefined && this.socket.bytesWritten > this.bytesWrittenBefore
	}

	/** Whether the connection can carry another request. */
	get isReusable(): boolean {
		return (
			!this.isClosed && !this.isRetired && !this.isSendingBody && this.socket?.destroyed !== true
		)
	}

	/** Prevents further requests on this connection. */
	preventReuse(): void {
		this.isRetired = true
	}

	/** Sends a request. The first request opens the connection. */
	dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
		this.bytesWrittenBefore = this.socket?.bytesWritten ?? 0
		this.client.dispatch(options, handler)
	}

	/** Destroys the connection; the running request fails. */
	destroy(): void {
		void this.client.destroy()
		this.close()
	}

	private close(): void {
		if (this.isClosed) return
		this.isClosed = true
		void this.client.destroy()
		this.onClose()
	}
}
