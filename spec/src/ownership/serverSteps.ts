import type { RunEnd } from './RunEnd.js'
import type { ServerMessage } from './ServerMessage.js'
import { replaceAt } from '../replaceAt.js'
import type { ServerState } from './ServerState.js'
import { ticks } from './ticks.js'

/** Answer of a backend server to a message. */
type OrderResult = 'taken' | 'refused' | 'fenced'

/**
 * Behaviour of a backend server, as the documentation of the platform describes it.
 */
export const serverSteps = {
	create(tasks: number): ServerState {
		const barred = Array.from({ length: tasks }, () => 0)
		return { incarnation: 1, token: 0, term: 0, leaseEnd: 0, running: [], ended: [], barred }
	},

	/** Carries out a message. `clockLag` is the time by which a slow clock extends leases. */
	handleMessage(
		server: ServerState,
		message: ServerMessage,
		now: number,
		clockLag: number
	): { readonly server: ServerState; readonly result: OrderResult } {
		if (message.incarnation !== server.incarnation) return { server, result: 'refused' }
		if (message.token < server.token) return { server, result: 'fenced' }
		const { token, term } = message
		const seen = { ...server, token, term: Math.max(term, server.term) }
		switch (message.kind) {
			case 'start':
				return start(seen, message, now, clockLag)
			case 'stop':
				return { server: stop(seen, message), result: 'taken' }
			case 'renew':
				return { server: extend(seen, message.leaseEnd + clockLag), result: 'taken' }
		}
	},

	/** Ends all runs if the lease has expired. */
	expire(server: ServerState, now: number): ServerState {
		if (server.leaseEnd > now) return server
		return server.running.reduce((at, [task]) => end(at, task, 'lapsed'), server)
	},

	finish(server: ServerState): ServerState {
		const [task] = server.running[0] ?? []
		return task === undefined ? server : end(server, task, 'done')
	},

	restart(server: ServerState): ServerState {
		const restarted = serverSteps.create(server.barred.length)
		return { ...restarted, incarnation: server.incarnation + 1, term: 0 }
	},

	/** Returns the time by which a slow clock extends leases. Only the last server has one. */
	getClockLag(server: number, servers: number): number {
		return server === servers - 1 ? ticks.clockDrift : 0
	},
}

function start(
	server: ServerState,
	message: ServerMessage,
	now: number,
	clockLag: number
): { readonly server: ServerState; readonly result: OrderResult } {
	const { task, attempt, leaseEnd } = message
	if (leaseEnd + clockLag <= now) return { server, result: 'refused' }
	const held = extend(server, leaseEnd + clockLag)
	if (held.running.some(([other]) => other === task)) return { server: held, result: 'taken' }
	if ((held.barred[task] ?? 0) >= attempt) return { server: held, result: 'refused' }
	return {
		server: { ...held, running: [...held.running, [task, attempt]] },
		result: 'taken',
	}
}

function stop(server: ServerState, { task, attempt }: ServerMessage): ServerState {
	const barred = replaceAt(server.barred, task, Math.max(server.barred[task] ?? 0, attempt))
	const runs = server.running.some(([other, known]) => other === task && known === attempt)
	return runs ? end({ ...server, barred }, task, 'stopped') : { ...server, barred }
}

function extend(server: ServerState, leaseEnd: number): ServerState {
	return { ...server, leaseEnd: Math.max(server.leaseEnd, leaseEnd) }
}

function end(server: ServerState, task: number, outcome: RunEnd['outcome']): ServerState {
	const run = server.running.find(([other]) => other === task)
	if (!run) return server
	const attempt = run[1]
	return {
		...server,
		running: server.running.filter((other) => other !== run),
		ended: [...server.ended, { task, attempt, outcome }],
		barred: replaceAt(server.barred, task, Math.max(server.barred[task] ?? 0, attempt)),
	}
}
