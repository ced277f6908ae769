import type { ChannelCredentials, ClientUnaryCall, ServiceError } from '@grpc/grpc-js'
import type { Milliseconds, TimerService } from '@mastichead/core'
import { PeerClient as PeerStub } from '@mastichead/protocol'
import { peerChannelOptions } from './peerChannelOptions.js'

type Callback<Reply> = (error: ServiceError | null, reply: Reply) => void
type Invoke<Reply> = (stub: PeerStub, callback: Callback<Reply>) => ClientUnaryCall

/**
 * Calls one peer. Every call ends by its deadline; a channel that missed one is replaced.
 *
 * @internal
 */
export class PeerClient {
	private stub: PeerStub

	/** @param address - `host:port` of the peer */
	constructor(
		private readonly timers: TimerService,
		private readonly address: string,
		private readonly credentials: ChannelCredentials
	) {
		this.stub = this.createStub()
	}

	/**
	 * Makes one call.
	 *
	 * @returns undefined when it failed or missed its deadline; the peer may have taken it all the same
	 */
	call<Reply>(invoke: Invoke<Reply>, timeout: Milliseconds): Promise<Reply | undefined> {
		const { stub } = this
		return new Promise((resolve) => {
			const call = invoke(stub, (error, reply) => {
				timer.cancel()
				resolve(error ? undefined : reply)
			})
			const timer = this.timers.after(timeout, () => {
				this.replaceStub(stub)
				call.cancel()
				resolve(undefined)
			})
		})
	}

	close(): void {
		this.stub.close()
	}

	private replaceStub(stub: PeerStub): void {
		if (this.stub !== stub) return
		this.stub = this.createStub()
		stub.close()
	}

	private createStub(): PeerStub {
		return new PeerStub(this.address, this.credentials, peerChannelOptions)
	}
}
