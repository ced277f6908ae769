import type { PeerLogPage } from './PeerLogPage.js'

/**
 * Access to the log that one peer keeps.
 *
 * @public
 */
export abstract class PeerLog {
	/** Name of the peer, for log lines. */
	abstract readonly name: string
	/**
	 * Last offset that the peer reported, its `LogManager.sharedOffset`; -1 if it reported none or is
	 * not ready.
	 */
	abstract readonly reportedOffset: number

	/**
	 * Reads the log of the peer starting at an offset. Must end within a few seconds.
	 *
	 * @returns undefined if the peer did not answer
	 */
	abstract readLog(from: number): Promise<PeerLogPage | undefined>
}
