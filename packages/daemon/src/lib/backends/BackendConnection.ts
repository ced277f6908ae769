import type { Milliseconds } from '@mastichead/core'
import type { Socket } from 'node:net'
import { buildConnector, Client, type Dispatcher } from 'undici'

/** Time for opening a connection. */
const CONNECT_TIMEOUT_MILLISECONDS = 1000

/** Longest head of an answer. */
const MAXIMUM_HEADER_BYTES = 32_768

/**
 * One connection to a backend server, for one request at a time. It is opened by its first request
 * and never opened again.
 *
 * @internal
 */
export class BackendConnection {
	/** When its last request ended; meaningful while idle. */
	idleSince: Milliseconds = 0
	/** Whether a part of the body of the running request is still to be sent. */
	isSendingBody = false
	private readonly client: Client
	private socket: Socket | undefined
	private bytesBefore = 0
	private isClosed = false
	private isSpent = false

	/** @param onClose - called once, when the connection is closed by either side */
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

	/** Whether the connection was opened; it may be closed again. */
	get wasOpened(): boolean {
		return this.socket !== undefined
	}

	/** Whether any byte of the running request was handed to the operating system. */
	get hasWrittenRequest(): boolean {
		return this.socket !== undefined && this.socket.bytesWritten > this.bytesBefore
	}

	/** Whether another request may be sent. */
	get isReusable(): boolean {
		return !this.isClosed && !this.isSpent && !this.isSendingBody && this.socket?.destroyed !== true
	}

	/** Notes that the connection must not carry another request. */
	preventReuse(): void {
		this.isSpent = true
	}

	/** Sends a request. */
	dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
		this.bytesBefore = this.socket?.bytesWritten ?? 0
		this.client.dispatch(options, handler)
	}

	/** Destroys the connection and fails the request that runs on it. */
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
