import type { TimerService } from '@mastichead/core'
import { BackendTable, JobTable } from '@mastichead/core'
import { SilentEventLog } from '../logs/SilentEventLog.js'
import { JobMetrics } from '../metrics/JobMetrics.js'
import type { OwnerContext } from '../owner/terms/OwnerContext.js'
import { MemoryBackendServerClient } from './MemoryBackendServerClient.js'

/**
 * Creates the context of an owner's term, with empty tables and no configuration.
 *
 * @internal
 */
export function createTestContext(timers: TimerService): OwnerContext {
	return {
		jobs: new JobTable(),
		backends: new BackendTable(),
		backendClient: new MemoryBackendServerClient(new Map(), timers),
		timers,
		events: new SilentEventLog(),
		metrics: new JobMetrics(),
		token: 1,
		getWallTime: () => 0,
		getConfiguration: () => {
			throw new Error('the test context has no configuration')
		},
		evacuatedZones: new Set(),
		mayAct: () => true,
		mayOrderMachines: () => true,
		endTerm: () => undefined,
		fail: (error) => {
			throw error
		},
	}
}
