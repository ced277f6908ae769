import { randomUUID } from 'node:crypto'
import type { OperatorErrorBody, ProposalId } from '@mastichead/core'
import type { Dispatcher } from 'undici'
import { CliError } from '../CliError.js'
import { sendRequest } from './sendRequest.js'
import type { ServerFailure } from './ServerFailure.js'
import type { ServerReply } from './ServerReply.js'

/** Rounds over all daemons to settle a change whose answer was lost. */
const MAXIMUM_ROUNDS = 3

type Answer = Extract<ServerReply, { type: 'answer' }>

/**
 * Client of the operators' HTTP interface of several daemons. Any of them will do; one that cannot
 * be reached is passed over.
 *
 * @internal
 */
export class OperatorClient {
	constructor(
		private readonly options: {
			/** Base URLs, tried in this order. */
			readonly servers: readonly string[]
			readonly token: string
			/** Milliseconds until an answer must be whole. */
			readonly timeout: number
			readonly dispatcher: Dispatcher
		}
	) {}

	/** Reads from the first daemon that answers. */
	async get(path: string): Promise<unknown> {
		const failures: ServerFailure[] = []
		for (const server of this.options.servers) {
			const reply = await this.send(server, 'GET', path)
			if (reply.type === 'answer') return getBody(reply)
			failures.push({ server, reason: reply.reason })
		}
		throw new CliError(3, `no daemon could be reached: ${formatFailures(failures)}`)
	}

	/** Reads from every daemon at once, and says which did not answer. */
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
	 * Makes a change. When an answer is lost the change is asked for again with the same proposal
	 * id, at the next daemon, so that it takes effect at most once.
	 *
	 * @param change.proposalId - id to use; a new one by default
	 * @param change.getAdvice - says how the user can settle an outcome that stays unknown
	 */
	async sendChange(change: {
		readonly method: 'PUT' | 'POST' | 'DELETE'
		readonly path: string
		readonly body?: object
		readonly proposalId?: ProposalId | undefined
		readonly getRecoveryHint?: (proposalId: ProposalId) => string
	}): Promise<unknown> {
		const { method, path, body, proposalId = randomUUID() } = change
		const getAdvice = change.getRecoveryHint ?? getDefaultRecoveryHint
		const failures: ServerFailure[] = []
		let isOutcomeUnknown = false
		for (let round = 0; round < MAXIMUM_ROUNDS; round++) {
			for (const server of this.options.servers) {
				const reply = await this.send(server, method, path, { ...body, proposalId })
				const retryCause = getRetryCause(reply)
				if (!retryCause) return getBody(reply as Answer)
				failures.push({ server, reason: retryCause.reason })
				isOutcomeUnknown ||= retryCause.isUnknown
			}
			if (!isOutcomeUnknown) break
		}
		const reasons = formatFailures(failures.slice(-this.options.servers.length))
		if (!isOutcomeUnknown) throw new CliError(3, `nothing changed: ${reasons}`)
		throw new CliError(4, `the outcome is unknown: ${reasons}\n${getAdvice(proposalId)}`)
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

/** Why a reply does not settle a change, or undefined when it does. */
function getRetryCause(
	reply: ServerReply
): { readonly reason: string; readonly isUnknown: boolean } | undefined {
	if (reply.type !== 'answer') return { reason: reply.reason, isUnknown: reply.type === 'lost' }
	const error = getError(reply)
	if (!error) return undefined
	switch (error.type) {
		case 'not-appended':
			return { reason: error.message, isUnknown: false }
		case 'outcome-unknown':
		case 'internal':
			return { reason: error.message, isUnknown: true }
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
