import type { Job } from '../Job.js'
import type { JobStep } from '../JobStep.js'

const defaultStep: JobStep = {
	count: 1,
	needs: { cpu: 1_000, memory: 100, gpu: 0 },
	estimate: 1_000,
	dependsOn: [],
	checkpoints: false,
	gang: false,
	sameRack: false,
	requiredLabel: '',
	dataRack: '',
	maximumPerBackend: 0,
	speculative: false,
	lasting: false,
	image: '',
	targetLatency: 0,
	fills: false,
	mayMiss: undefined,
}

/**
 * Creates a job of the queue `quotes` and the team `installers`.
 *
 * @public
 */
export function createTestJob(id: string, steps: readonly Partial<JobStep>[], acceptedAt = 0): Job {
	return {
		id,
		queue: 'quotes',
		team: 'installers',
		specification: '',
		steps: steps.map((step) => ({ ...defaultStep, ...step })),
		times: 0,
		startAt: 0,
		interval: 0,
		acceptedAt,
	}
}
