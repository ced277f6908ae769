import type { ServerResponse } from 'node:http'
import { EventEmitter } from 'node:events'

/**
 * Stands in for the answer to a caller and records its verdict.
 *
 * @internal
 */
export class RecordedResponse extends EventEmitter {
	headersSent = false
	destroyed = false
	readonly headers = new Map<string, unknown>()
	/** Verdict of the whole answer; absent while there is none, or when it was cut. */
	verdict: string | undefined

	/** @param onEnd - called once the whole answer was given */
	constructor(private readonly onEnd: (verdict: string) => void) {
		super()
	}

	/** The answer as the daemon's code takes it. */
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
