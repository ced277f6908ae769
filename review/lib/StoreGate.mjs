import { createServer, request } from 'node:http'

/**
 * Stands between one daemon and the store, and lets every call through. A call that gets no answer brings nothing
 * further on its connection.
 */
export class StoreGate {
	/** Partitions that are out of reach, as `TOPIC/PART`: calls for them are not carried out. */
	silentPartitions = new Set()
	/** While true, no call is answered. */
	isSilent = false
	/** Milliseconds after which the store carries out appends that it has not answered; undefined for never. */
	lateBy = undefined
	#server
	#host
	#port

	/**
	 * @param {string} store - `IP:PORT` of the store
	 * @param recorder - gets a line for each append that is carried out late
	 */
	constructor(store, recorder) {
		;[this.#host, this.#port] = store.split(':')
		this.recorder = recorder
		this.#server = createServer((incoming, outgoing) => {
			const chunks = []
			incoming.on('data', (chunk) => chunks.push(chunk))
			incoming.on('error', () => undefined)
			incoming.on('end', () => {
				const { method, url, headers } = incoming
				const call = { method, url, headers, body: Buffer.concat(chunks) }
				if (!this.#mayAnswer(url)) this.#carryOutLater(call)
				else this.#forward(call, outgoing)
			})
		})
	}

	#mayAnswer(url) {
		const query = new URL(url, 'http://store').searchParams
		return (
			!this.isSilent && !this.silentPartitions.has(`${query.get('topic')}/${query.get('part')}`)
		)
	}

	#forward(call, outgoing) {
		const sent = this.#send(call, (answer) => {
			outgoing.writeHead(answer.statusCode, answer.headers)
			answer.pipe(outgoing)
		})
		sent.on('error', () => outgoing.destroy())
		outgoing.on('close', () => sent.destroy())
	}

	#carryOutLater(call) {
		if (this.lateBy === undefined || !call.url.startsWith('/api/log-append')) return
		this.recorder.write(
			`the store has got, and not answered, ${call.url}: ${formatBody(call.body)}`
		)
		setTimeout(() => {
			const sent = this.#send(call, (answer) => answer.resume())
			sent.on('error', () => undefined)
			this.recorder.write(`the store carries out ${call.url}: ${formatBody(call.body)}`)
		}, this.lateBy).unref()
	}

	#send({ method, url, headers, body }, handleAnswer) {
		const options = { host: this.#host, port: this.#port, method, path: url, headers, agent: false }
		return request(options, handleAnswer).end(body)
	}

	listen(host, port) {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject)
			this.#server.listen(port, host, resolve)
		})
	}

	close() {
		this.#server.closeAllConnections()
		return new Promise((resolve) => this.#server.close(resolve))
	}
}

function formatBody(body) {
	return body
		.toString('latin1')
		.replaceAll(/[^ -~]+/g, ' ')
		.slice(0, 60)
}
