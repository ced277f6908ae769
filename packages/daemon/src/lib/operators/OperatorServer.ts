import type { IncomingMessage, ServerResponse } from 'node:http'
import type { TimerService } from '@mastichead/core'
import { BodyMemory, hasBody } from '@mastichead/http'
import type { Logger } from 'winston'
import { HttpListener } from '../http/HttpListener.js'
import type { Settings } from '../settings/Settings.js'
import { createErrorResponse } from './createErrorResponse.js'
import { createOperatorResources } from './createOperatorResources.js'
import type { OperatorResponse } from './OperatorResponse.js'
import type { OperatorContext } from './OperatorContext.js'
import { OperatorCredentials } from './OperatorCredentials.js'
import type { OperatorRequest } from './OperatorRequest.js'
import type { OperatorResource } from './OperatorResource.js'
import { readJsonBody } from './readJsonBody.js'

/**
 * HTTP server for operators: JSON over HTTP/1.1, authenticated by a bearer token for each operator.
 * docs/interface.md documents it.
 *
 * @public
 */
export class OperatorServer {
	private readonly listener: HttpListener
	private readonly credentials: OperatorCredentials
	private readonly resources: readonly OperatorResource[]
	private readonly bodies: BodyMemory

	constructor(
		private readonly options: {
			readonly settings: Settings
			readonly context: OperatorContext
			readonly timers: TimerService
			readonly logger: Logger
		}
	) {
		const { settings, context, timers, logger } = options
		this.credentials = new OperatorCredentials(settings.operators)
		this.resources = createOperatorResources(context)
		this.listener = new HttpListener({
			name: 'operators',
			listener: settings.listeners.operators,
			limits: settings.limits,
			timers,
			logger,
			handler: (request, response, startServing) => {
				void this.serve(request, response, startServing)
			},
		})
		this.bodies = new BodyMemory(this.listener.limits.bodyBytes)
	}

	/** The listening port; undefined while closed. */
	get port(): number | undefined {
		return this.listener.port
	}

	/** Opens the port; rejects with the system error if that fails. */
	start(): Promise<void> {
		return this.listener.start()
	}

	/** Stops accepting connections and resolves once pending requests have ended. */
	stop(): Promise<void> {
		return this.listener.stop()
	}

	/** Closes every connection immediately. */
	destroy(): void {
		this.listener.destroy()
	}

	private async serve(
		request: IncomingMessage,
		response: ServerResponse,
		startServing: () => void
	): Promise<void> {
		const path = (request.url ?? '/').split('?', 1)[0] ?? '/'
		const operator = this.credentials.getOperator(request.headers.authorization)
		const result = await this.getResponse(request, path, operator, startServing)
		// What was not read is not worth reading.
		const isUnread = hasBody(request) && !request.complete
		if (isUnread) response.setHeader('Connection', 'close')
		sendResponse(response, result)
		const fields = { method: request.method, path, operator, status: result.status }
		if (operator === undefined && result.status === 401) {
			this.options.logger.warn('operator-refused', fields)
		} else if (request.method === 'GET') this.options.logger.debug('operator-request', fields)
		else this.options.logger.info('operator-request', fields)
	}

	private async getResponse(
		request: IncomingMessage,
		path: string,
		operator: string | undefined,
		startServing: () => void
	): Promise<OperatorResponse> {
		const matched = this.matchResource(path)
		if (operator === undefined && !matched?.resource.isPublic) {
			return createErrorResponse('unauthorized', 'a valid operator token is needed')
		}
		if (!matched) return createErrorResponse('not-found', `no resource ${path}`)
		try {
			const { operatorBodyBytes } = this.options.settings.limits
			const read = await readJsonBody(request, operatorBodyBytes, this.bodies)
			if (read.type !== 'json') return createUnreadResponse(read.type)
			startServing()
			const { resource, parameters } = matched
			const { body } = read
			return await dispatch(resource, request.method ?? '', {
				operator: operator ?? '',
				parameters,
				body,
			})
		} catch (error) {
			this.options.logger.error('operator-request-failed', { path, reason: error })
			return createErrorResponse('internal', 'the daemon failed to answer; see its log')
		}
	}

	private matchResource(path: string):
		| {
				readonly resource: OperatorResource
				readonly parameters: Readonly<Record<string, string>>
		  }
		| undefined {
		for (const resource of this.resources) {
			const parameters = resource.match(path)
			if (parameters) return { resource, parameters }
		}
		return undefined
	}
}

function createUnreadResponse(reason: 'too-large' | 'dropped' | 'malformed'): OperatorResponse {
	switch (reason) {
		case 'too-large':
			return createErrorResponse('too-large', 'the body is over limits.operatorBodyBytes')
		case 'dropped':
			return createErrorResponse('overloaded', 'bodies exceed limits.bufferedBodyBytes; try again')
		case 'malformed':
			return createErrorResponse('malformed', 'the body is not JSON')
	}
}

async function dispatch(
	resource: OperatorResource,
	method: string,
	request: OperatorRequest
): Promise<OperatorResponse> {
	const response = await callMethod(resource, method, request)
	return (
		response ??
		createErrorResponse('method-not-allowed', `${resource.path} has no method ${method}`)
	)
}

/** Calls the resource's handler of an HTTP method; returns undefined if it has none. */
async function callMethod(
	resource: OperatorResource,
	method: string,
	request: OperatorRequest
): Promise<OperatorResponse | undefined> {
	switch (method) {
		case 'GET':
		case 'HEAD':
			return resource.get?.(request)
		case 'PUT':
			return resource.put?.(request)
		case 'POST':
			return resource.post?.(request)
		case 'DELETE':
			return resource.delete?.(request)
		default:
			return undefined
	}
}

function sendResponse(response: ServerResponse, result: OperatorResponse): void {
	const isText = result.type === 'text'
	const text = isText ? result.text : `${JSON.stringify(result.body)}\n`
	response.writeHead(result.status, {
		'Content-Type': isText ? 'text/plain; version=0.0.4; charset=utf-8' : 'application/json',
		'Content-Length': Buffer.byteLength(text),
		'Cache-Control': 'no-store',
		...(result.status === 401 && { 'WWW-Authenticate': 'Bearer' }),
	})
	response.end(text)
}
