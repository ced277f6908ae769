import { request } from 'undici'

const SHOWN_HEADERS = [
	'content-type',
	'retry-after',
	'mastichead-verdict',
	'mastichead-backend-server',
	'mastichead-request-id',
	'mastichead-queued-milliseconds',
	'mastichead-service-milliseconds',
]

/** Values that differ from run to run, and what stands for them on the tape. */
const VOLATILE: readonly (readonly [RegExp, string])[] = [
	[/mh_[0-9a-f]{16}_[A-Za-z0-9_-]{43}/g, '<key>'],
	[/\b(zone-\d\d\.)[0-9a-f]{12}\b/g, '$1<incarnation>'],
	[/\b\d+-[0-9a-f]{16,64}-zone-\d\d\.<incarnation>/g, '<request id>'],
	[/[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g, '<uuid>'],
	[/\b[0-9a-f]{16}\b/g, '<key id>'],
	[/"(version|offset|base|decidedOffset)":\d+/g, '"$1":<number>'],
	[/in force is \d+, not \d+/g, 'in force is <number>, not <number>'],
	[/(milliseconds: )\d+/g, '$1<number>'],
]

/**
 * Sends requests and writes each of them with its answer down, volatile values left out.
 *
 * @internal
 */
export class SessionTape {
	private readonly lines: string[] = []

	get text(): string {
		return `${this.lines.join('\n')}\n`
	}

	/**
	 * Sends one request.
	 *
	 * @param who - who sends it, for the tape
	 * @returns status and body of the answer
	 */
	async send(
		who: string,
		call: {
			readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
			readonly url: string
			readonly headers?: Readonly<Record<string, string>>
			readonly body?: string
			/** Whether the answer's body is left out, since it differs from run to run. */
			readonly isBodyHidden?: boolean
		}
	): Promise<{ status: number; text: string }> {
		const { method, url, headers = {}, body } = call
		const answer = await request(url, { method, headers, body: body ?? null })
		const text = await answer.body.text()
		this.write(`${who}: ${method} ${new URL(url).pathname}`)
		for (const [name, value] of Object.entries(headers)) this.write(`  ${name}: ${value}`)
		if (body !== undefined) this.write(`  > ${body}`)
		this.write(`  ${answer.statusCode}`)
		for (const name of SHOWN_HEADERS) {
			const value = answer.headers[name]
			if (value !== undefined) this.write(`  ${name}: ${String(value)}`)
		}
		this.write(call.isBodyHidden ? '  < (left out)' : `  < ${text}`)
		this.write('')
		return { status: answer.statusCode, text }
	}

	/** Adds what another tape has, with one text in place of another. */
	append(other: SessionTape, from: string, to: string): void {
		this.lines.push(...other.lines.map((line) => line.replaceAll(from, to)))
	}

	private write(line: string): void {
		this.lines.push(VOLATILE.reduce((text, [pattern, mark]) => text.replace(pattern, mark), line))
	}
}
