import { EventEmitter } from 'node:events'
import type { Socket } from 'node:net'
import { setImmediate as turn } from 'node:timers/promises'
import { expect, it } from 'vitest'
import type { ClientLimits } from './ClientLimits.js'
import { ConnectionTable } from './ConnectionTable.js'

class FakeSocket extends EventEmitter {
	destroyed = false

	destroy(): void {
		this.destroyed = true
		this.emit('close')
	}
}

const limits = {
	connections: 3,
	calls: 4,
	callsPerConnection: 3,
	bodyBytes: 1_000,
	unparsedBytes: 1_000,
}

it('closes connections that serve nobody to make room, never those being served', () => {
	const { table, open } = createFixture(limits)
	const [served, idle, fresh] = [open(), open(), open()]
	const call = table.beginCall(served)
	const answered = table.beginCall(idle)
	if (!call || !answered) throw new Error('calls were refused')
	table.startServing(call)
	table.startServing(answered)
	table.endServing(answered)
	table.endCall(answered)
	const first = open()
	expect([served, idle, fresh].map(({ destroyed }) => destroyed)).toEqual([false, false, true])
	first.destroy()
	const others = [open(), open(), open()]
	expect(served.destroyed).toBe(false)
	expect(others.at(-1)?.destroyed).toBe(false)
})

it('refuses a connection while all others are being served', () => {
	const { table, open } = createFixture(limits)
	for (let index = 0; index < limits.connections; index += 1) {
		const call = table.beginCall(open())
		if (call) table.startServing(call)
	}
	expect(open().destroyed).toBe(true)
})

it('closes a connection with too many requests ahead', () => {
	const { table, open } = createFixture(limits)
	const socket = open()
	for (let index = 0; index < limits.callsPerConnection; index += 1) table.beginCall(socket)
	expect(socket.destroyed).toBe(false)
	expect(table.beginCall(socket)).toBeUndefined()
	expect(socket.destroyed).toBe(true)
})

it('closes the connection with most requests when all together have too many', async () => {
	const { table, open } = createFixture(limits)
	const [first, second, third] = [open(), open(), open()]
	for (const socket of [first, first, first, second]) table.beginCall(socket)
	await turn()
	expect(table.beginCall(third)).toBeDefined()
	expect([first, second, third].map(({ destroyed }) => destroyed)).toEqual([true, false, false])
	expect(table.isFull).toBe(false)
})

it('refuses requests ahead when very many begin at once', () => {
	const { table, open } = createFixture({ ...limits, calls: 2 })
	const [first, second] = [open(), open()]
	for (const socket of [first, second]) table.beginCall(socket)
	expect(table.beginCall(second)).toBeUndefined()
	expect([first, second].map(({ destroyed }) => destroyed)).toEqual([false, true])
})

it('counts what is being served for a client that has left', () => {
	const { table, open } = createFixture({ ...limits, calls: 1 })
	const socket = open()
	const call = table.beginCall(socket)
	if (!call) throw new Error('the call was refused')
	table.startServing(call)
	socket.destroy()
	expect(table.isFull).toBe(true)
	table.endServing(call)
	expect(table.isFull).toBe(false)
})

function createFixture(options: ClientLimits) {
	const table = new ConnectionTable({
		limits: options,
		onDisconnect: () => undefined,
	})
	const open = (): FakeSocket & Socket => {
		const socket = new FakeSocket() as unknown as FakeSocket & Socket
		table.add(socket)
		return socket
	}
	return { table, open }
}
