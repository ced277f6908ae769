import {
	LocalSharePolicy,
	RetryBudget,
	type FleetState,
	type Queue,
	type TimerService,
} from '@mastichead/core'
import { Readable } from 'node:stream'
import type { IncomingMessage } from 'node:http'
import { createLogger } from 'winston'
import { BodyMemory } from '@mastichead/http'
import { RequestBody } from '../callers/RequestBody.js'
import { RequestManager } from '../callers/RequestManager.js'
import { MetricsManager } from '../metrics/MetricsManager.js'
import type { ClaimTransport } from '../requestIds/ClaimTransport.js'
import { RequestIdManager } from '../requestIds/RequestIdManager.js'
import { UnconnectedSlotTransport } from '../slots/UnconnectedSlotTransport.js'
import { SlotManager } from '../slots/SlotManager.js'
import { CountingAllowances } from './CountingAllowances.js'
import { RecordedResponse } from './RecordedResponse.js'
import type { ScriptedBackendManager } from './ScriptedBackendManager.js'

const logger = createLogger({ silent: true })
const EMPTY_REQUEST = { headers: {}, method: 'POST' } as unknown as IncomingMessage

interface Options {
	readonly timers: TimerService
	readonly instance: string
	readonly state: FleetState
	readonly transport: ClaimTransport
	readonly backends: ScriptedBackendManager
	readonly random: () => number
}

/**
 * The request handling of a daemon in virtual time: claims, queueing, attempts and settlement.
 *
 * @internal
 */
export class SimulatedDaemon {
	readonly requestIds: RequestIdManager
	readonly slots: SlotManager
	readonly requests: RequestManager
	readonly allowances = new CountingAllowances()

	constructor(private readonly options: Options) {
		const { timers, instance, state, transport, backends } = options
		const getState = () => state
		let randomCount = 0
		const createRandom = () => (randomCount++).toString(16).padStart(16, '0')
		this.requestIds = new RequestIdManager({ timers, instance, transport, logger, createRandom })
		this.slots = new SlotManager({
			timers,
			instance,
			transport: new UnconnectedSlotTransport(),
			getState,
			getListings: () => new Map(),
			getScheduler: () => this.requests.scheduler,
			getAvailableUnits: () => Infinity,
		})
		this.slots.start()
		this.requests = new RequestManager({
			timers,
			logger,
			metrics: new MetricsManager(),
			allowances: this.allowances,
			slots: this.slots,
			backends,
			policy: new LocalSharePolicy(),
			getState,
			getPeerLoad: () => new Map(),
			budget: createFullBudget(),
			onRequestEnd: (requestId, verdict) => {
				this.requestIds.settle(requestId, verdict)
			},
		})
	}

	get isKilled(): boolean {
		return this.options.backends.isKilled
	}

	/** Kills the daemon: it sends no further responses, claims or attempts. */
	kill(): void {
		this.options.backends.isKilled = true
		this.requests.stop()
		this.slots.stop()
	}

	/**
	 * Submits a request the way the caller server does.
	 *
	 * @param onResponse - called with the request id and the verdict of the response
	 */
	async submit(
		submission: { readonly requestId: string; readonly idempotent: boolean; readonly queue: Queue },
		onResponse: (requestId: string, verdict: string) => void
	): Promise<RecordedResponse> {
		const { idempotent, queue } = submission
		const claim = await this.requestIds.claim(submission.requestId, { idempotent })
		const requestId = claim.type === 'claimed' ? claim.requestId : submission.requestId
		const recorder = new RecordedResponse((verdict) => {
			if (!this.isKilled) onResponse(requestId, verdict)
		})
		if (claim.type === 'refused') {
			recorder.setHeader('mastichead-verdict', claim.refusal.verdict)
			recorder.end()
			return recorder
		}
		const body = await RequestBody.readAhead(createEmptyBody(), 0, new BodyMemory(Infinity))
		const headers = { requestId, idempotent, startTimeout: undefined, path: '/' }
		const { response } = recorder
		const request = EMPTY_REQUEST
		this.requests.submit({ requestId, team: 'desk', queue, headers, body, request, response })
		return recorder
	}
}

/** Starts with a full budget, since the few requests of a test would not earn a retry. */
function createFullBudget(): RetryBudget {
	const budget = new RetryBudget({ burst: 20 })
	for (let count = 0; count < 200; count++) budget.addRequest()
	return budget
}

function createEmptyBody(): IncomingMessage {
	return Object.assign(Readable.from([]), { headers: {} }) as unknown as IncomingMessage
}
