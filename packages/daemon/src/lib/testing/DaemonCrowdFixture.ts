import type { Crowd, ProcessProbe } from '@mastichead/standins'

/**
 * A deployment with one daemon that has few resources, and what a test needs to press that daemon.
 *
 * @internal
 */
export interface DaemonCrowdFixture {
	/** What the daemon's process holds. */
	readonly probe: ProcessProbe
	/** What a client shows that may use a port: the key of a team, or the token of an operator. */
	readonly credentials: {
		readonly callers: string
		readonly operators: string
		readonly peers: string
	}
	/** Creates a crowd that presses one of the daemon's ports, from addresses of its own. */
	createCrowd: (port: 'callers' | 'operators' | 'peers') => Crowd
	/** Posts a quote like any caller, with retries; returns the last status, or why there was none. */
	postQuote: () => Promise<unknown>
	/** Asks for the metrics like any operator, with retries; returns the last status, or why there was none. */
	readMetrics: () => Promise<unknown>
	/** Closes the crowds' connections, and ends what was started. */
	close: () => Promise<void>
}
