import type { Crowd, ProcessProbe } from '@mastichead/standins'

/**
 * A deployment with one daemon that has few resources, and what a test needs to press that daemon.
 *
 * @internal
 */
export interface DaemonCrowdFixture {
	/** What the daemon's process holds. */
	readonly probe: ProcessProbe
	/** Key of a team that may call. */
	readonly key: string
	/** Creates a crowd that presses one of the daemon's ports, from addresses of its own. */
	createCrowd: (port: 'callers' | 'operators' | 'peers') => Crowd
	/** Posts a quote like any caller, with retries; returns the last status, or why there was none. */
	postQuote: () => Promise<unknown>
	/** Asks for the metrics like any operator, with retries; returns the last status, or why there was none. */
	readMetrics: () => Promise<unknown>
	/** Closes the crowds' connections, and ends what was started. */
	close: () => Promise<void>
}
