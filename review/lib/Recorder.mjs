import { appendFileSync, writeFileSync } from 'node:fs'

/** Writes the record of one run of a case: what was sent, answered and run, with times. */
export class Recorder {
	#startedAt = Date.now()

	/** @param {string} file - path of the record, which is begun anew */
	constructor(file) {
		this.file = file
		writeFileSync(file, '')
	}

	/** Adds a line with the seconds since the start. */
	write(text) {
		const seconds = ((Date.now() - this.#startedAt) / 1_000).toFixed(3).padStart(8)
		appendFileSync(this.file, `${seconds} ${text}\n`)
	}
}
