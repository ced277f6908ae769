interface Job {
	readonly wave: string
	readonly endsAt: number
}

const DEFAULT_JOB_MILLISECONDS = 200

/**
 * Maintenance of single instances, as the platform carries it out: idempotent by wave.
 *
 * @internal
 */
export class MaintenanceJobs {
	private readonly jobs = new Map<string, Job>()

	/**
	 * Starts maintenance when `body` names a wave, and tells the state.
	 *
	 * @param body - JSON `{"wave": string, "milliseconds"?: number}`; empty to read only
	 */
	handle(instance: string, body: string): { wave: string; state: 'none' | 'running' | 'done' } {
		if (body !== '') this.start(instance, body)
		const job = this.jobs.get(instance)
		if (!job) return { wave: '', state: 'none' }
		return { wave: job.wave, state: Date.now() < job.endsAt ? 'running' : 'done' }
	}

	private start(instance: string, body: string): void {
		const order = JSON.parse(body) as { wave: string; milliseconds?: number }
		if (this.jobs.get(instance)?.wave === order.wave) return
		const duration = order.milliseconds ?? DEFAULT_JOB_MILLISECONDS
		this.jobs.set(instance, { wave: order.wave, endsAt: Date.now() + duration })
	}
}
