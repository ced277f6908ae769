import type { Machine } from '../ports/Machine.js'
import type { MachineOrderResult } from '../ports/MachineOrderResult.js'
import type { createTestFleet } from './createTestFleet.js'
import { MemoryBackend } from './MemoryBackend.js'

/** Time for which a machine is down, in milliseconds. */
const DEFAULT_DURATION = 2_000
/** Time after which an order without an answer fails at its sender, in milliseconds. */
const CALL_TIMEOUT = 500

/**
 * Lets the machine controller of a test fleet carry maintenance orders out: everything on the machine ends
 * at once, and a new backend server under another id is registered on it after the maintenance. An order
 * that was already carried out is answered as done and changes nothing.
 *
 * @param options.machines - machines of the fleet, with the ids of their backend servers
 * @internal
 */
export function simulateMaintenance(
	fleet: ReturnType<typeof createTestFleet>,
	options: { readonly machines: readonly Machine[]; readonly duration?: number }
): MaintenanceSimulation {
	const { timers, store, backends, journal, machines: controller } = fleet
	const machines = new Map(options.machines.map((machine) => [machine.id, machine]))
	const done = new Set<string>()
	const simulation = { maximumDown: 0, lostAnswers: 0, machines, done }
	let serverCount = 0
	const getRegistration = (id: string): object => {
		const entries = store.getEntries('backends')
		const entry = entries.findLast(({ key, value }) => key === id && value !== undefined)
		return JSON.parse(entry?.value ?? '{}') as object
	}
	const startServer = (machine: Machine): void => {
		serverCount += 1
		const server = new MemoryBackend(`n${serverCount}`, timers, journal)
		const previous = backends.get(machine.backend)
		if (previous) {
			server.getRunDuration = previous.getRunDuration
			server.stopTime = previous.stopTime
		}
		backends.set(server.id, server)
		const { id } = server
		const registration = { ...getRegistration(machine.backend), id, address: `10.0.0.1:${id}` }
		store.append('backends', [{ key: server.id, value: JSON.stringify(registration) }])
		machines.set(machine.id, { ...machine, state: 'up', backend: server.id })
	}
	const takeDown = (machine: Machine): void => {
		const server = backends.get(machine.backend)
		server?.restart()
		if (server) server.disconnected = true
		store.append('backends', [{ key: machine.backend, value: undefined }])
		machines.set(machine.id, { ...machine, state: 'maintenance' })
		const down = [...machines.values()].filter(({ state }) => state === 'maintenance').length
		simulation.maximumDown = Math.max(simulation.maximumDown, down)
		timers.after(options.duration ?? DEFAULT_DURATION, () => {
			startServer(machine)
		})
	}
	controller.list = () => Promise.resolve([...machines.values()])
	controller.maintain = async (id, wave, token): Promise<MachineOrderResult> => {
		controller.orders.push(`maintain ${id} ${wave} ${token}`)
		const machine = machines.get(id)
		const key = `${id} ${wave}`
		if (!machine) return { kind: 'refused', reason: 'other' }
		if (!done.has(key)) {
			if (machine.state !== 'up') return { kind: 'refused', reason: 'busy' }
			done.add(key)
			takeDown(machine)
		}
		if (simulation.lostAnswers === 0) return { kind: 'done' }
		simulation.lostAnswers -= 1
		await new Promise<void>((resolve) => {
			timers.after(CALL_TIMEOUT, resolve)
		})
		return { kind: 'unknown', detail: 'no answer' }
	}
	return simulation
}

interface MaintenanceSimulation {
	/** Largest number of machines that were down at the same time. */
	readonly maximumDown: number
	/** Number of next orders that are carried out but get no answer. */
	lostAnswers: number
	/** Machines by id; one that is deleted is no longer listed. */
	readonly machines: Map<string, Machine>
	/** Orders that were carried out, as `MACHINE WAVE`. */
	readonly done: ReadonlySet<string>
}
