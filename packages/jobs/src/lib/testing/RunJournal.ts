interface JournalRun {
	readonly attempt: number
	readonly backend: string
	readonly startedAt: number
	endedAt: number | undefined
}

/**
 * Records the runs on all backend servers of a test and the violations of two guarantees: a task
 * has one run at a time, and it does not start after its end was acknowledged.
 *
 * @internal
 */
export class RunJournal {
	readonly violations: string[] = []
	private readonly runs = new Map<string, JournalRun[]>()
	private readonly acknowledged = new Set<string>()

	recordStart(task: string, attempt: number, backend: string, now: number): void {
		const runs = this.runs.get(task) ?? []
		this.runs.set(task, runs)
		const active = runs.find((run) => run.endedAt === undefined)
		if (active) {
			this.violations.push(
				`${now}: ${task} runs twice, attempt ${active.attempt} on ${active.backend} and ${attempt} on ${backend}`
			)
		}
		if (this.acknowledged.has(task)) {
			this.violations.push(`${now}: ${task} started after its end was acknowledged`)
		}
		runs.push({ attempt, backend, startedAt: now, endedAt: undefined })
	}

	recordEnd(task: string, attempt: number, at: number): void {
		const run = this.runs.get(task)?.find((candidate) => candidate.attempt === attempt)
		if (run) run.endedAt ??= at
	}

	recordAcknowledgement(end: { readonly task: string; readonly ending: string }): void {
		if (end.ending === 'done') this.acknowledged.add(end.task)
	}

	/** Returns the runs of a task in the order of their starts. */
	getRuns(task: string): readonly JournalRun[] {
		return this.runs.get(task) ?? []
	}

	/** Tasks that have been started, in the order of their first starts. */
	get tasks(): string[] {
		return [...this.runs.keys()]
	}

	/** Tasks that are running now. */
	get running(): string[] {
		const running: string[] = []
		for (const [task, runs] of this.runs) {
			if (runs.some((run) => run.endedAt === undefined)) running.push(task)
		}
		return running
	}
}
