import { Pool } from 'undici'

const REQUEST_BODY = 'quote '.repeat(40)

/**
 * Throughput and latencies of one load run.
 *
 * @internal
 */
interface Result {
	/** Completed requests per second, failed ones included. */
	readonly throughput: number
	/** Median latency in milliseconds. */
	readonly p50: number
	/** 99th percentile of the latency in milliseconds. */
	readonly p99: number
	/** Responses with a status other than 200, and requests without a response. */
	readonly failed: number
}

/**
 * Sends POST requests to one URL and measures throughput and latency.
 *
 * @internal
 */
export class LoadGenerator {
	private readonly pool: Pool
	private latencies: number[] = []
	private failedCount = 0

	constructor(
		url: string,
		private readonly request: { readonly path: string; readonly key: string },
		connections: number
	) {
		this.pool = new Pool(url, { connections })
	}

	/** Keeps `concurrency` requests in flight for `duration` milliseconds (closed loop). */
	async runClosedLoop(concurrency: number, duration: number): Promise<Result> {
		const startedAt = this.reset()
		const sendUntilEnd = async () => {
			while (performance.now() < startedAt + duration) await this.send(performance.now())
		}
		await Promise.all(Array.from({ length: concurrency }, sendUntilEnd))
		return this.getResult(startedAt)
	}

	/**
	 * Sends `rate` requests per second for `duration` milliseconds, however long responses take (open
	 * loop). Latency counts from the scheduled time, so a late send does not hide waiting.
	 */
	async runOpenLoop(rate: number, duration: number): Promise<Result> {
		const startedAt = this.reset()
		const sent: Promise<void>[] = []
		while (performance.now() < startedAt + duration) {
			const dueCount = Math.floor(((performance.now() - startedAt) * rate) / 1000)
			while (sent.length < dueCount) sent.push(this.send(startedAt + (sent.length * 1000) / rate))
			await new Promise((resolve) => setTimeout(resolve, 1))
		}
		await Promise.all(sent)
		return this.getResult(startedAt)
	}

	async close(): Promise<void> {
		await this.pool.close()
	}

	private async send(scheduledAt: number): Promise<void> {
		try {
			const { statusCode, body } = await this.pool.request({
				path: this.request.path,
				method: 'POST',
				headers: { authorization: `Bearer ${this.request.key}` },
				body: REQUEST_BODY,
			})
			await body.dump()
			if (statusCode !== 200) this.failedCount++
		} catch {
			this.failedCount++
		}
		this.latencies.push(performance.now() - scheduledAt)
	}

	private reset(): number {
		this.latencies = []
		this.failedCount = 0
		return performance.now()
	}

	private getResult(startedAt: number): Result {
		const sorted = this.latencies.sort((left, right) => left - right)
		const getQuantile = (quantile: number) => sorted[Math.floor(sorted.length * quantile)] ?? 0
		return {
			throughput: (1000 * sorted.length) / (performance.now() - startedAt),
			p50: getQuantile(0.5),
			p99: getQuantile(0.99),
			failed: this.failedCount,
		}
	}
}
