import { describe, expect, it } from 'vitest'
import { createCrashFleet } from '../testing/createCrashFleet.js'

const LASTING = 0x100
/** Time for which a server refuses connections, in milliseconds; its leases expire in it. */
const REFUSAL = 8_000
/** Times for which a server is out of reach, in milliseconds; leases expire in the longer ones. */
const SILENCES = [1_500, 6_000]
/** Number of times that a server of the same task is lost. */
const LOSSES = 4
/** Time between two losses, in milliseconds; short, so that the task has just been started. */
const PAUSE = 200
/** Time in which a task runs again after its server was lost, in milliseconds. */
const RESTART_TIME = 6_500

function createFleet(): ReturnType<typeof createCrashFleet> {
	return createCrashFleet({ instances: 2, backends: 4 })
}

// Guards against a task that is given up although its servers were only out of reach.
describe('a task whose servers fall silent', () => {
	it.each(SILENCES)('for %i ms, one after the other, is not given up', async (silence) => {
		const { fleet, submit, getState, getServer } = await createFleet()
		const id = submit(LASTING, { count: 1, lasting: true })
		await fleet.advance(300)
		for (let loss = 0; loss < LOSSES; loss += 1) {
			const server = getServer(`${id}.0.0.0`)
			server.disconnected = true
			await fleet.advance(silence)
			server.disconnected = false
			await fleet.advance(Math.max(0, RESTART_TIME - silence) + PAUSE)
		}
		expect(await getState(id)).toBe('running')
		expect(fleet.journal.violations).toEqual([])
	})

	it('and refuse connections until their leases have expired is not given up', async () => {
		const { fleet, submit, getState, getServer } = await createFleet()
		const task = `${submit(LASTING, { count: 1, lasting: true })}.0.0.0`
		let losses = 0
		for (let waited = 0; waited < (LOSSES + 1) * REFUSAL; waited += 10) {
			await fleet.advance(10)
			if (losses === LOSSES || fleet.journal.getRuns(task).length === losses) continue
			losses += 1
			const server = getServer(task)
			server.refusing = true
			fleet.timers.after(REFUSAL, () => (server.refusing = false))
		}
		expect(fleet.journal.getRuns(task)).toHaveLength(LOSSES + 1)
		expect(await getState(task.slice(0, task.indexOf('.')))).toBe('running')
		expect(fleet.journal.violations).toEqual([])
	})

	it('and are replaced behind the cut is not given up', async () => {
		const { fleet, submit, getState, getServer } = await createFleet()
		const task = `${submit(LASTING, { count: 1, lasting: true })}.0.0.0`
		for (let loss = 1; loss <= LOSSES; loss += 1) {
			for (let waited = 0; waited < RESTART_TIME; waited += 10) {
				await fleet.advance(10)
				if (fleet.journal.getRuns(task).length === loss) break
			}
			const server = getServer(task)
			server.disconnected = true
			await fleet.advance(2_000)
			server.exit()
			fleet.replace(server)
			server.disconnected = false
		}
		expect(fleet.journal.getRuns(task)).toHaveLength(LOSSES)
		expect(await getState(task.slice(0, task.indexOf('.')))).toBe('running')
	})
})

// Guards against a task that is given up because its servers were restarted on purpose.
describe('a task whose servers are restarted on purpose', () => {
	it('after they reported that they are draining is not given up', async () => {
		const { fleet, submit, getState, getServer } = await createFleet()
		const id = submit(LASTING, { count: 1, lasting: true, mayMiss: 0 })
		await fleet.advance(200)
		for (let loss = 0; loss < LOSSES; loss += 1) {
			const server = getServer(`${id}.0.0.0`)
			fleet.register(server, { draining: true })
			await fleet.advance(800)
			server.exit()
			await fleet.advance(3_000)
			fleet.replace(server)
			await fleet.advance(2_000)
		}
		expect(fleet.journal.getRuns(`${id}.0.0.0`).length).toBeGreaterThan(LOSSES)
		expect(await getState(id)).toBe('running')
	})

	it('by an order for their machines whose answer was lost is not given up', async () => {
		const machineIds = ['machine-b1', 'machine-b2', 'machine-b3', 'machine-b4']
		const { fleet, submit, getState, getServer } = await createFleet()
		const id = submit(LASTING, { count: 1, lasting: true })
		await fleet.advance(200)
		for (let loss = 0; loss < LOSSES; loss += 1) {
			const server = getServer(`${id}.0.0.0`)
			expect(machineIds).toContain(server.machine)
			const recordedAt = 1_700_000_000_000 + fleet.timers.now()
			const order = JSON.stringify({ token: 1, recordedAt })
			fleet.store.append('progress', [{ key: `machine/${server.machine}`, value: order }])
			fleet.store.rebalance()
			await fleet.advance(100)
			server.exit()
			await fleet.advance(2_000)
			fleet.replace(server)
			await fleet.advance(4_000)
		}
		expect(fleet.journal.getRuns(`${id}.0.0.0`).length).toBeGreaterThan(LOSSES)
		expect(await getState(id)).toBe('running')
	})
})

// Guards against a task that is given up for crashes of its servers in which it had run for long.
it('a task whose servers crash some time after its starts is not given up', async () => {
	const { fleet, submit, getState, getServer, crash } = await createFleet()
	const id = submit(LASTING, { count: 1, lasting: true })
	await fleet.advance(8_000)
	for (let loss = 0; loss < LOSSES; loss += 1) {
		crash(getServer(`${id}.0.0.0`))
		await fleet.advance(12_000)
	}
	expect(fleet.journal.getRuns(`${id}.0.0.0`)).toHaveLength(LOSSES + 1)
	expect(await getState(id)).toBe('running')
})

// Guards against a task that is given up for a crash that came with its first start and with that of others.
it('a task that was lost in one crash is not given up for a second one that it cannot have caused', async () => {
	const { fleet, submit, getState, getServer, crash } = await createFleet()
	const ids = [1, 2, 3].map((number) => submit(LASTING + number, { count: 1, lasting: true }))
	await fleet.advance(100)
	crash(getServer(`${ids[0] ?? ''}.0.0.0`))
	await fleet.advance(RESTART_TIME)
	crash(getServer(`${ids[0] ?? ''}.0.0.0`))
	await fleet.advance(RESTART_TIME)
	for (const id of ids) expect(await getState(id)).toBe('running')
})

// Guards against a task that is given up for the crash of a server on which it had not begun, because its start
// order got no answer.
it('a task whose start order was lost with its server is given up only after two crashes under its runs', async () => {
	const { fleet, submit, getState, getServer, crash } = await createFleet()
	const owner = fleet.instances.find(({ daemon }) => daemon.isOwner)
	if (!owner) throw new Error('there is no owner')
	owner.backendClient.startDelay = Infinity
	const id = submit(LASTING, { count: 1, lasting: true })
	await fleet.advance(50)
	const [target] = [...fleet.backends.values()].filter((backend) => backend.id === 'b1')
	if (!target) throw new Error('no server')
	crash(target)
	owner.backendClient.startDelay = undefined
	for (let waited = 0; waited < RESTART_TIME; waited += 10) {
		await fleet.advance(10)
		if (fleet.journal.getRuns(`${id}.0.0.0`).length > 0) break
	}
	crash(getServer(`${id}.0.0.0`))
	await fleet.advance(RESTART_TIME)
	expect(fleet.journal.getRuns(`${id}.0.0.0`).length).toBeGreaterThan(1)
	expect(await getState(id)).toBe('running')
})
