import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream } from 'node:fs'
import path from 'node:path'
import { writeSettings } from './writeSettings.mjs'

const REPOSITORY = path.resolve(import.meta.dirname, '../..')
/** The command of the deploy file, without the name of the program. */
const ARGUMENTS = ['--max-old-space-size=96', '--max-semi-space-size=2', 'target/mastichead.cjs']
/** Events of the daemon that go into the record. */
const RECORDED_EVENTS = new Set([
	'started',
	'ownership-acquired',
	'ownership-lost',
	'owner-begun',
	'owner-failed',
	'owner-abandoned',
	'unexpected-error',
	'settings-kept',
])

/** One process of the system on an entry instance of its own, which has a loopback address. */
export class Daemon {
	/** @type {import('node:child_process').ChildProcess | undefined} */
	#child
	#restart
	/** How the process ended by itself: its exit code or the name of a signal. */
	endings = []

	constructor({ name, ip, seeds, store, gate, cloud, folder, recorder }) {
		this.name = name
		/** Through it the process reaches the store. */
		this.gate = gate
		this.ip = ip
		this.recorder = recorder
		this.folder = folder
		this.settings = path.join(folder, `${name}.toml`)
		writeSettings(this.settings, { name, ip, seeds, store, cloud })
	}

	get pid() {
		return this.#child?.pid
	}

	/** Starts the process with the command of the deploy file. */
	start() {
		const { PATH, HOME, LANG } = process.env
		const child = spawn('node', ARGUMENTS, {
			cwd: REPOSITORY,
			env: { PATH, HOME, LANG, MASTICHEAD_CONFIG: this.settings },
			stdio: ['ignore', 'pipe', 'pipe'],
		})
		this.#child = child
		this.recorder.write(`${this.name} process started`)
		this.#keepOutput(child)
		child.once('exit', (code, signal) => {
			if (this.#child !== child) return
			this.#child = undefined
			this.endings.push(signal ?? `code ${code}`)
			this.recorder.write(`${this.name} process ended by itself: ${signal ?? `code ${code}`}`)
		})
	}

	#keepOutput(child) {
		const log = createWriteStream(path.join(this.folder, `${this.name}.log`), { flags: 'a' })
		child.stderr.pipe(log)
		let rest = ''
		child.stdout.setEncoding('utf8').on('data', (text) => {
			log.write(text)
			const lines = (rest + text).split('\n')
			rest = lines.pop()
			for (const line of lines) this.#recordLine(line)
		})
	}

	#recordLine(line) {
		let entry
		try {
			entry = JSON.parse(line)
		} catch {
			return
		}
		if (!RECORDED_EVENTS.has(entry.event)) return
		// The stack of an error names the folder of the checkout.
		const text = line.replace(/\\n.*$/, '"}').slice(0, 400)
		this.recorder.write(`${this.name} log: ${text.replaceAll(REPOSITORY, '.')}`)
	}

	/** Sends a signal to the process. */
	signal(signal) {
		this.recorder.write(`${this.name} gets ${signal}`)
		this.#child?.kill(signal)
	}

	/** Kills the process, which the platform starts again after `duration` milliseconds. */
	async killFor(duration) {
		this.recorder.write(`${this.name} is killed`)
		await this.kill()
		this.#restart = setTimeout(() => this.start(), duration)
	}

	/** Kills the process, if it runs, and waits until it is gone. */
	async kill() {
		clearTimeout(this.#restart)
		const child = this.#child
		if (!child) return
		this.#child = undefined
		child.kill('SIGKILL')
		if (child.exitCode === null && child.signalCode === null) await once(child, 'exit')
	}
}
