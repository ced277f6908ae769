import { setTimeout as delay } from 'node:timers/promises'
import { RunServerStandin } from '../../packages/standins/dist/index.js'

const PORT = 8080

/** A backend server on a machine of its own, which has a loopback address. */
export class BackendServer {
	constructor({ number, network, duration, service, store, recorder }) {
		this.machine = `m-${number}`
		/** The id that the stand-in of the machines gives to the first server on a machine. */
		this.id = `i-m-${number}-0`
		this.ip = `${network}.${100 + number}`
		this.address = `${this.ip}:${PORT}`
		this.service = service
		this.store = store
		this.recorder = recorder
		this.runs = new RunServerStandin(duration)
		this.events = []
		this.runs.onEvent = (event) => {
			this.events.push(event)
			const { kind, task, attempt, ending } = event
			if (kind !== 'acknowledged')
				recorder.write(`server ${this.id} ${kind} ${task}/${attempt} ${ending}`)
		}
	}

	listen() {
		return this.runs.listen(this.ip, PORT)
	}

	/** Crashes: everything that runs ends, connections break and new ones are refused. */
	async crash(duration) {
		this.recorder.write(`server ${this.id} crashes for ${duration} ms`)
		await this.runs.close()
		this.runs.restart()
		await delay(duration)
		this.runs.restart()
		await this.listen()
		this.recorder.write(`server ${this.id} has started again`)
		const registration = this.runs.createRegistration(this.service, this.address, this.machine)
		this.store.put('keyed.servers', this.id, registration)
	}

	/**
	 * Crashes as soon as a start order for a task arrives, before it carries the order out.
	 *
	 * @param trap - shared by several servers, of which only the first one crashes
	 */
	crashBeforeStart(task, duration, trap) {
		const startRun = this.runs.startRun.bind(this.runs)
		this.runs.startRun = (call) => {
			if (call.task !== task || !trap.isSet) return startRun(call)
			trap.isSet = false
			this.recorder.write(
				`server ${this.id} has got, and not carried out, the order ${task}/${call.attempt}`
			)
			void this.crash(duration)
			return new Promise(() => undefined)
		}
	}

	/** Ends for good; its entry in the store goes after three heartbeats of silence. */
	async leave(silence) {
		this.recorder.write(`server ${this.id} is lost for good`)
		await this.runs.close()
		this.runs.restart()
		await delay(silence)
		this.store.delete('keyed.servers', this.id)
		this.recorder.write(`the entry of server ${this.id} is removed`)
	}

	close() {
		return this.runs.close()
	}
}
