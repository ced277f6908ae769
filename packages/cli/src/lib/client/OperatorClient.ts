import { randomUUID } from 'node:crypto'
import type { OperatorErrorBody, ProposalId } from '@mastichead/core'
import type { Dispatcher } from 'undici'
import { CliError } from '../CliError.js'
import { sendRequest } from './sendRequest.js'
import type { ServerFailure } from './ServerFailure.js'
import type { ServerReply } from './ServerReply.js'

/** Rounds of requests to all daemons when the outcome of a change is unknown. */
const MAXIMUM_ROUNDS = 3

type Answer = Extract<ServerReply, { type: 'answer' }>

/**
 * Client of the operators' HTTP interface. Any daemon can serve a request; daemons that cannot be
 * reached are skipped.
 *
 * @internal
 */
export class OperatorClient {
	constructor(
		private readonly options: {
			/** Base URLs, tried in this order. */
			readonly servers: readonly string[]
			readonly token: string
			/** Milliseconds in which a complete answer must arrive. */
			readonly timeout: number
			readonly dispatcher: Dispatcher
		}
	) {}

	/** Returns the answer of the first daemon that answers. */
	async get(path: string): Promise<unknown> {
		const failures: ServerFailure[] = []
		for (const server of this.options.servers) {
			const reply = await this.send(server, 'GET', path)
			if (reply.type === 'answer') return getBody(reply)
			failures.push({ server, reason: reply.reason })
		}
		throw new CliError(3, `no daemon could be reached: ${formatFailures(failures)}`)
	}

	/** Asks all daemons in parallel; returns their answers and the daemons that did not answer. */
	async getAll(path: string): Promise<{
		readonly bodies: readonly unknown[]
		readonly failures: readonly ServerFailure[]
	}> {
		const replies = await Promise.all(
			this.options.servers.map(async (server) => {
				return { server, reply: await this.send(server, 'GET', path) }
			})
		)
		const bodies: unknown[] = []
		const failures: ServerFailure[] = []
		for (const { server, reply } of replies) {
			if (reply.type === 'answer') bodies.push(getBody(reply))
			else failures.push({ server, reason: reply.reason })
		}
		if (bodies.length > 0) return { bodies, failures }
		throw new CliError(3, `no daemon could be reached: ${formatFailures(failures)}`)
	}

	/**
	 * Sends a change. If an answer is lost, the change is retried at the next daemon with the same
	 * proposal id, so that it takes effect at most once.
	 *
	 * @param change.proposalId - id to use; a new one by default
	 * @param change.getRecoveryHint - tells the user what to do if the outcome stays unknown
	 */
	async sendChange(change: {
		readonly method: 'PUT' | 'POST' | 'DELETE'
		readonly path: string
		readonly body?: object
		readonly proposalId?: ProposalId | undefined
		readonly getRecoveryHint?: (proposalId: ProposalId) => string
	}): Promise<unknown> {
		const { method, path, body, proposalId = randomUUID() } = change
		const getRecoveryHint = change.getRecoveryHint ?? getDefaultRecoveryHint
		const failures: ServerFailure[] = []
		let isOutcomeUnknown = false
		for (let round = 0; round < MAXIMUM_ROUNDS; round++) {
			for (const server of this.options.servers) {
				const reply = await this.send(server, method, path, { ...body, proposalId })
				const retryCause = getRetryCause(reply)
				if (!retryCause) return getBody(reply as Answer)
				failures.push({ server, reason: retryCause.reason })
				isOutcomeUnknown ||= retryCause.isOutcomeUnknown
			}
			if (!isOutcomeUnknown) break
		}
		const reasons = formatFailures(failures.slice(-this.options.servers.length))
		if (!isOutcomeUnknown) throw new CliError(3, `nothing changed: ${reasons}`)
		throw new CliError(4, `the outcome is unknown: ${reasons}\n${getRecoveryHint(proposalId)}`)
	}

	private send(
		server: string,
		method: 'GET' | 'PUT' | 'POST' | 'DELETE',
		path: string,
		body?: object
	): Promise<ServerReply> {
		return sendRequest({ ...this.options, server, method, path, body })
	}
}

function getDefaultRecoveryHint(): string {
	return 'See whether `mastichead status` shows the change; if not, repeat the command.'
}

/**
 * Returns why a change must be retried after a reply, and whether this attempt may have taken
 * effect; undefined if the reply is final.
 */
function getRetryCause(
	reply: ServerReply
): { readonly reason: string; readonly isOutcomeUnknown: boolean } | undefined {
	if (reply.type !== 'answer')
		return { reason: reply.reason, isOutcomeUnknown: reply.type === 'lost' }
	const error = getError(reply)
	if (!error) return undefined
	switch (error.type) {
		case 'not-appended':
		case 'overloaded':
			return { reason: error.message, isOutcomeUnknown: false }
		case 'outcome-unknown':
		case 'internal':
			return { reason: error.message, isOutcomeUnknown: true }
		case 'unauthorized':
		case 'malformed':
		case 'too-large':
		case 'not-found':
		case 'method-not-allowed':
		case 'invalid':
		case 'rejected':
			return undefined
	}
}

/** Returns the body of an answer. Throws a `CliError` if the daemon reports an error. */
function getBody(reply: Answer): unknown {
	const error = getError(reply)
	if (!error) return reply.body
	throw new CliError(error.type === 'unauthorized' ? 5 : 1, `${error.type}: ${error.message}`)
}

function getError(reply: Answer): OperatorErrorBody['error'] | undefined {
	if (reply.status < 400) return undefined
	return (reply.body as OperatorErrorBody).error
}

function formatFailures(failures: readonly ServerFailure[]): string {
	return failures.map(({ server, reason }) => `${server}: ${reason}`).join('; ')
}
