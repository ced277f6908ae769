/** Cost of one retry in tokens; each request earns one token. */
const TOKENS_PER_RETRY = 10

/** Maximum number of retries that can accumulate. */
const DEFAULT_BURST = 100

/**
 * Token bucket that limits retries to a tenth of the requests.
 *
 * The bucket starts empty, so the attempts since the start never exceed 1.1 times the requests. In
 * a window that begins later, they never exceed 1.1 times its requests plus `burst`.
 *
 * @public
 */
export class RetryBudget {
	private readonly maximumTokens: number
	private tokens = 0

	/** @param options - `burst`: maximum number of retries that can accumulate (default 100) */
	constructor(options: { readonly burst?: number } = {}) {
		this.maximumTokens = (options.burst ?? DEFAULT_BURST) * TOKENS_PER_RETRY
	}

	/** Adds the token of a request; called once, at its first attempt. */
	addRequest(): void {
		this.tokens = Math.min(this.maximumTokens, this.tokens + 1)
	}

	/** Takes the tokens of one retry. Returns false and takes nothing if there are too few. */
	takeRetry(): boolean {
		if (this.tokens < TOKENS_PER_RETRY) return false
		this.tokens -= TOKENS_PER_RETRY
		return true
	}
}
