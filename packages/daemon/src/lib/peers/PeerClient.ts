import type { ChannelCredentials, ClientUnaryCall, ServiceError } from '@grpc/grpc-js'
import type { Milliseconds, TimerService } from '@mastichead/core'
import { PeerClient as PeerStub } from '@mastichead/protocol'
import { peerChannelOptions } from './peerChannelOptions.js'

type Callback<Reply> = (error: ServiceError | null, reply: Reply) => void
type Invoke<Reply> = (stub: PeerStub, callback: Callback<Reply>) => ClientUnaryCall

/**
 * gRPC client of one peer. Every call ends within its timeout; a channel on which a call timed out
 * is replaced.
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
	 * @returns the reply, or undefined if the call failed or timed out; the peer may have processed
	 *   it anyway
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
