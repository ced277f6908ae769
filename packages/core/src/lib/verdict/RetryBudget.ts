/** Tokens that one retry costs; a request earns one token. */
const TOKENS_PER_RETRY = 10

/** Retries that can be saved up while nothing fails. */
const DEFAULT_BURST = 100

/**
 * Token bucket that bounds retries to a tenth of the requests.
 *
 * The bucket starts empty, so at every instant since the start the attempts are at most
 * 1.1 times the requests. Over a window that begins later, the attempts are at most
 * 1.1 times the requests of the window plus `burst`.
 *
 * @public
 */
export class RetryBudget {
	private readonly maximumTokens: number
	private tokens = 0

	/** @param options - `burst`: retries that can be saved up (default 100) */
	constructor(options: { readonly burst?: number } = {}) {
		this.maximumTokens = (options.burst ?? DEFAULT_BURST) * TOKENS_PER_RETRY
	}

	/** Counts a request at its first attempt. */
	addRequest(): void {
		this.tokens = Math.min(this.maximumTokens, this.tokens + 1)
	}

	/** Takes the tokens of one retry. Returns false, and takes nothing, when there are too few. */
	takeRetry(): boolean {
		if (this.tokens < TOKENS_PER_RETRY) return false
		this.tokens -= TOKENS_PER_RETRY
		return true
	}
}
