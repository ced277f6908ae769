import { JobRecords } from '../../log/JobRecords.js'
import type { StreamFollower } from '../../log/StreamFollower.js'
import type { TermHistory } from '../../log/TermHistory.js'
import type { OwnerContext } from './OwnerContext.js'
import type { ProgressWriter } from './ProgressWriter.js'

/** Interval at which the log is read for the ends of earlier terms, in milliseconds. */
const READ_INTERVAL = 500

/**
 * Follows the terms of earlier owners that may not have ended: reads whether their instances have
 * recorded the end, and records it once they cannot send orders any more.
 *
 * @internal
 */
export class EarlierTerms {
	private timer: { cancel(): void } | undefined

	constructor(
		private readonly context: OwnerContext,
		private readonly options: {
			readonly terms: TermHistory
			readonly progress: StreamFollower
			readonly writer: ProgressWriter
		}
	) {}

	start(): void {
		this.timer = this.context.timers.every(READ_INTERVAL, () => {
			this.check().catch(this.context.fail)
		})
	}

	stop(): void {
		this.timer?.cancel()
	}

	/** Reads the log while there is an open term, and closes those that are over. */
	private async check(): Promise<void> {
		const { terms, progress, writer } = this.options
		const { token, timers } = this.context
		const tokens = terms.getOpenTokens(token)
		if (tokens.length === 0) return
		for (const earlier of tokens) {
			if (!terms.isOver(earlier, timers.now())) continue
			const key = JobRecords.getTermKey(earlier)
			writer.markRecordChanged(key, () => JobRecords.createTermTombstone(earlier))
		}
		await progress.readToEnd()
	}
}
