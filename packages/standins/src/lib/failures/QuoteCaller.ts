import { Agent, request } from 'undici'

/**
 * How one submission ended at its caller. `cut` stands for a connection that broke once the request
 * was sent; `unsent` for one that could not be opened.
 *
 * @internal
 */
interface Submission {
	readonly type: 'answered' | 'cut' | 'unsent'
	readonly url: string
	readonly id: string
	readonly status: number
	readonly verdict: string
	readonly text: string
}

/**
 * A caller that posts quotes and keeps what became of each.
 *
 * @internal
 */
export class QuoteCaller {
	readonly submissions: Submission[] = []
	private readonly agent = new Agent({ connections: 64, keepAliveTimeout: 10_000 })

	constructor(private readonly key: string) {}

	/** Asks an entry instance for a request id. */
	async issueId(url: string): Promise<string> {
		const { body } = await request(`${url}/v1/request-ids`, {
			method: 'POST',
			dispatcher: this.agent,
		})
		return ((await body.json()) as { requestId: string }).requestId
	}

	/** Posts a quote. */
	async post(url: string, body: string, id = ''): Promise<Submission> {
		const submission = await this.send(url, body, id)
		this.submissions.push(submission)
		return submission
	}

	/** Posts a quote until an entry instance takes it, as a load balancer's caller would. */
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
		const failed = { url, id, status: 0, verdict: '', text: '' }
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
			return { ...failed, type: code === 'ECONNREFUSED' ? 'unsent' : 'cut', text: code }
		}
	}
}
