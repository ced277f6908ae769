import type { Job } from '../Job.js'
import { createTestJob } from './createTestJob.js'

/**
 * Creates jobs of one or two steps that arrive evenly, with sizes that vary by a fixed seed.
 *
 * @param options.jobsPerSecond - rate of arrival
 * @param options.duration - milliseconds in which they arrive, from 0 on
 * @internal
 */
export function createTestDemand(options: {
	readonly seed: number
	readonly jobsPerSecond: number
	readonly duration: number
}): { readonly job: Job; readonly durations: readonly number[] }[] {
	const random = createRandom(options.seed)
	const vary = (mean: number, spread: number): number =>
		mean * Math.exp(spread * (random() + random() + random() - 1.5) * 2 - (spread * spread) / 2)
	const count = Math.round((options.jobsPerSecond * options.duration) / 1_000)
	return Array.from({ length: count }, (_, number) => {
		const durations = Array.from({ length: random() < 0.5 ? 1 : 2 }, () => vary(1_000, 0.5))
		const cpu = Math.round(vary(880, 0.45))
		const steps = durations.map((duration, index) => ({
			count: Math.max(1, Math.round(vary(6, 0.6))),
			needs: { cpu, memory: 100, gpu: 0 },
			estimate: Math.round(vary(duration, 0.5)),
			dependsOn: index === 0 ? [] : [index - 1],
		}))
		const acceptedAt = Math.floor((number * 1_000) / options.jobsPerSecond)
		return { job: createTestJob(`job-${number}`, steps, acceptedAt), durations }
	})
}

/** Creates a generator of numbers from 0 to 1 (mulberry32). */
function createRandom(seed: number): () => number {
	let state = seed
	return () => {
		state = (state + 0x6d2b79f5) | 0
		let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
		mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
	}
}
