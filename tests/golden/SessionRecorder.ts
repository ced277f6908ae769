import { request } from 'undici'

const RECORDED_HEADERS = [
	'content-type',
	'retry-after',
	'mastichead-verdict',
	'mastichead-backend-server',
	'mastichead-request-id',
	'mastichead-queued-milliseconds',
	'mastichead-service-milliseconds',
]

/** Patterns of values that differ from run to run, and the placeholders that replace them. */
const VOLATILE_VALUES: readonly (readonly [RegExp, string])[] = [
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
 * Sends HTTP requests and records each with its response. Values that differ from run to run are
 * replaced by placeholders.
 *
 * @internal
 */
export class SessionRecorder {
	private readonly lines: string[] = []

	get text(): string {
		return `${this.lines.join('\n')}\n`
	}

	/**
	 * Sends one request and records it.
	 *
	 * @param sender - name of the sender in the recording
	 * @returns status code and body of the response
	 */
	async send(
		sender: string,
		call: {
			readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
			readonly url: string
			readonly headers?: Readonly<Record<string, string>>
			readonly body?: string
			/** Whether the response body is not recorded because it differs from run to run. */
			readonly isBodyHidden?: boolean
		}
	): Promise<{ status: number; text: string }> {
		const { method, url, headers = {}, body } = call
		const response = await request(url, { method, headers, body: body ?? null })
		const text = await response.body.text()
		this.write(`${sender}: ${method} ${new URL(url).pathname}`)
		for (const [name, value] of Object.entries(headers)) this.write(`  ${name}: ${value}`)
		if (body !== undefined) this.write(`  > ${body}`)
		this.write(`  ${response.statusCode}`)
		for (const name of RECORDED_HEADERS) {
			const value = response.headers[name]
			if (value !== undefined) this.write(`  ${name}: ${String(value)}`)
		}
		this.write(call.isBodyHidden ? '  < (left out)' : `  < ${text}`)
		this.write('')
		return { status: response.statusCode, text }
	}

	/** Appends the lines of another recorder, with every `from` replaced by `to`. */
	append(other: SessionRecorder, from: string, to: string): void {
		this.lines.push(...other.lines.map((line) => line.replaceAll(from, to)))
	}

	private write(line: string): void {
		this.lines.push(
			VOLATILE_VALUES.reduce(
				(text, [pattern, placeholder]) => text.replace(pattern, placeholder),
				line
			)
		)
	}
}
