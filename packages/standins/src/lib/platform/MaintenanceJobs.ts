interface Job {
	readonly wave: string
	readonly endsAt: number
}

const DEFAULT_JOB_MILLISECONDS = 200

/**
 * Maintenance jobs of the platform, one per instance. Starting a job is idempotent per wave.
 *
 * @internal
 */
export class MaintenanceJobs {
	private readonly jobs = new Map<string, Job>()

	/**
	 * Starts a job if `body` is not empty, and returns the state of the instance's job.
	 *
	 * @param body - JSON `{"wave": string, "milliseconds"?: number}`, or empty to read the state only
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
