import type { ServerResponse } from 'node:http'
import { EventEmitter } from 'node:events'

/**
 * A fake response to a caller that records its verdict.
 *
 * @internal
 */
export class RecordedResponse extends EventEmitter {
	headersSent = false
	destroyed = false
	readonly headers = new Map<string, unknown>()
	/** Verdict of the complete response; undefined until it ends, or if it was aborted. */
	verdict: string | undefined

	/** @param onEnd - called with the verdict when the response ends */
	constructor(private readonly onEnd: (verdict: string) => void) {
		super()
	}

	/** This object, typed as the daemon code expects it. */
	get response(): ServerResponse {
		return this as unknown as ServerResponse
	}

	setHeader(name: string, value: unknown): void {
		this.headers.set(name, value)
	}

	writeHead(): void {
		this.headersSent = true
	}

	write(): boolean {
		return true
	}

	end(): void {
		this.verdict = String(this.headers.get('mastichead-verdict'))
		this.onEnd(this.verdict)
	}

	destroy(): void {
		if (this.destroyed) return
		this.destroyed = true
		this.emit('close')
	}
}
