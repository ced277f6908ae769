import { LocalSharePolicy, SystemTimerService, type FleetState } from '@mastichead/core'
import { createLogger } from 'winston'
import { BackendManager } from '../backends/BackendManager.js'
import { CallerServer } from '../callers/CallerServer.js'
import { RequestManager } from '../callers/RequestManager.js'
import type { KeyLog } from '../keys/KeyLog.js'
import { KeyManager } from '../keys/KeyManager.js'
import { MetricsManager } from '../metrics/MetricsManager.js'
import type { ClaimTransport } from '../requestIds/ClaimTransport.js'
import { RequestIdManager } from '../requestIds/RequestIdManager.js'
import { UnconnectedClaimTransport } from '../requestIds/UnconnectedClaimTransport.js'
import { parseSettings } from '../settings/parseSettings.js'
import { UnconnectedSlotTransport } from '../slots/UnconnectedSlotTransport.js'
import { SlotManager } from '../slots/SlotManager.js'
import { CountingAllowances } from './CountingAllowances.js'

interface Options {
	readonly state: FleetState
	readonly port: number
	readonly instance?: string
	readonly transport?: ClaimTransport
	/** Further `limits` settings, as inline YAML that starts with a comma. */
	readonly limits?: string
}

/**
 * Composes the caller server and request handling of a daemon over a fleet state, without log and
 * peers.
 *
 * @internal
 */
export async function createCallerStack(options: Options) {
	const settings = createSettings(options)
	const timers = new SystemTimerService()
	const logger = createLogger({ silent: true })
	const getState = () => options.state
	const allowances = new CountingAllowances()
	const instance = options.instance ?? 'entry-1.a'
	const slots: SlotManager = new SlotManager({
		timers,
		instance,
		transport: new UnconnectedSlotTransport(),
		getState,
		getListings: () => new Map(),
		getScheduler: () => requests.scheduler,
		getAvailableUnits: () => Infinity,
	})
	const log: KeyLog = {
		state: options.state,
		platformContactAt: timers.now(),
		sharedOffset: -1,
		propose: () => Promise.reject(new Error('the fixture has no log')),
	}
	const backends = new BackendManager({
		timers,
		getConnectionLimit: (server) => slots.getConnectionLimit(server),
	})
	const transport = options.transport ?? new UnconnectedClaimTransport()
	const requestIds = new RequestIdManager({ timers, instance, transport, logger })
	const requests: RequestManager = new RequestManager({
		timers,
		logger,
		metrics: new MetricsManager(),
		allowances,
		slots,
		backends,
		policy: new LocalSharePolicy(),
		getState,
		getPeerLoad: () => new Map(),
		onRequestEnd: (requestId, verdict) => {
			requestIds.settle(requestId, verdict)
		},
	})
	const callers = new CallerServer({
		settings,
		logger,
		timers,
		requests,
		authenticator: new KeyManager(timers, log, logger, instance),
		requestIds,
		getState,
	})
	slots.start()
	await callers.start()
	/** Returns the number of held resources by kind; all are zero once no request is in progress. */
	const getHeldCounts = () => ({
		requests: requests.size,
		allowances: allowances.unitsInUseCount,
		slots: slots.getBusyServers().size,
		claims: requestIds.claimCount,
		connections: backends.connectionCount,
	})
	const stop = () => {
		callers.stop()
		requests.stop()
		slots.stop()
		backends.close()
	}
	return { callers, requests, requestIds, backends, slots, getHeldCounts, stop }
}

function createSettings(options: Options) {
	const result = parseSettings(`
instance: entry-1
availabilityZone: zone-1
listeners:
  callers: { port: ${options.port} }
  operators: { port: 1 }
  peers: { port: 2 }
platform: { urls: ['http://127.0.0.1:1'] }
operators: [{ name: test, tokenHash: ${'a'.repeat(64)} }]
limits: { headersTimeoutMilliseconds: 1000, requestTimeoutMilliseconds: 1000${options.limits ?? ''} }
`)
	if (result.type === 'error') throw new Error(result.error.message)
	return result.settings
}
