import type { PeerLogPage } from './PeerLogPage.js'

/**
 * The log as one peer keeps it.
 *
 * @public
 */
export abstract class PeerLog {
	/** Name of the peer, for logs. */
	abstract readonly name: string
	/**
	 * Last offset that the peer said it had folded, its `LogManager.sharedOffset`; -1 when it said
	 * none or is not ready itself.
	 */
	abstract readonly offset: number

	/**
	 * Asks the peer for the log from an offset on. Must end by a deadline of a few seconds.
	 *
	 * @returns undefined when the peer did not answer
	 */
	abstract readLog(from: number): Promise<PeerLogPage | undefined>
}
