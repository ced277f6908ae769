import { Agent, request } from 'undici'

/**
 * Outcome of one submission as its caller saw it: `cut` if the connection broke after the request
 * was sent, `unsent` if no connection could be opened.
 *
 * @internal
 */
interface Submission {
	readonly type: 'answered' | 'cut' | 'unsent'
	readonly url: string
	readonly id: string
	readonly status: number
	readonly verdict: string
	/** Response body, or the error code if there was no response. */
	readonly text: string
}

/**
 * A caller that posts to the queue `quotes` and records the outcome of each submission.
 *
 * @internal
 */
export class QuoteCaller {
	readonly submissions: Submission[] = []
	private readonly agent = new Agent({ connections: 64, keepAliveTimeout: 10_000 })

	constructor(private readonly key: string) {}

	/** Requests a new request id from an entry instance. */
	async issueId(url: string): Promise<string> {
		const { body } = await request(`${url}/v1/request-ids`, {
			method: 'POST',
			dispatcher: this.agent,
		})
		return ((await body.json()) as { requestId: string }).requestId
	}

	/** Posts a quote and records its outcome; an empty `id` sends no request id. */
	async post(url: string, body: string, id = ''): Promise<Submission> {
		const submission = await this.send(url, body, id)
		this.submissions.push(submission)
		return submission
	}

	/**
	 * Posts a quote to one entry instance after the other until one accepts it, as a caller behind
	 * a load balancer would.
	 *
	 * @param first - index of the URL to try first
	 */
	async postAnywhere(urls: readonly string[], first: number, body: string): Promise<Submission> {
		for (let attempt = 0; ; attempt++) {
			const url = urls[(first + attempt) % urls.length] ?? ''
			const submission = await this.post(url, body)
			const isRefusedHere =
				submission.type === 'unsent' || submission.text.includes('shutting-down')
			if (!isRefusedHere || attempt === urls.length) return submission
		}
	}

	async close(): Promise<void> {
		await this.agent.close()
	}

	private async send(url: string, body: string, id: string): Promise<Submission> {
		const headers: Record<string, string> = { authorization: `Bearer ${this.key}` }
		if (id !== '') headers['mastichead-request-id'] = id
		const failure = { url, id, status: 0, verdict: '', text: '' }
		try {
			const answer = await request(`${url}/v1/queues/quotes/requests`, {
				method: 'POST',
				dispatcher: this.agent,
				headers,
				body,
			})
			const text = await answer.body.text()
			return {
				type: 'answered',
				url,
				id: String(answer.headers['mastichead-request-id'] ?? id),
				status: answer.statusCode,
				verdict: String(answer.headers['mastichead-verdict']),
				text,
			}
		} catch (error) {
			const code = error instanceof Error && 'code' in error ? String(error.code) : ''
			return { ...failure, type: code === 'ECONNREFUSED' ? 'unsent' : 'cut', text: code }
		}
	}
}
