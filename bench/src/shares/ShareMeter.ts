import { computeMaxMinShares } from '@mastichead/core'
import type { ShareScenario } from './ShareScenario.js'
import type { SimulatedBackendPool } from './SimulatedBackendPool.js'

const SAMPLE_MILLISECONDS = 50
const WINDOW_MILLISECONDS = 10_000

interface Sample {
	readonly at: number
	readonly running: ReadonlyMap<string, number>
	readonly totalRunning: number
}

/**
 * Samples the running requests of each team and compares them with its weighted max-min share.
 *
 * @internal
 */
export class ShareMeter {
	private readonly samples: Sample[] = []

	constructor(
		private readonly scenario: ShareScenario,
		private readonly backendPool: SimulatedBackendPool
	) {}

	/** Milliseconds between samples. */
	static readonly interval = SAMPLE_MILLISECONDS

	sample(at: number): void {
		this.samples.push({
			at,
			running: new Map(this.backendPool.runningByTeam),
			totalRunning: this.backendPool.totalRunning,
		})
	}

	/** Returns the distance from the share in percent, over all 10 s windows between two times. */
	getDistances(from: number, to: number): { mean: number; worst: number } {
		const distances: number[] = []
		for (let start = from; start + WINDOW_MILLISECONDS <= to; start += 1000) {
			distances.push(...this.getWindowDistances(start, start + WINDOW_MILLISECONDS))
		}
		const mean = distances.reduce((sum, value) => sum + value, 0) / distances.length
		return { mean, worst: Math.max(...distances) }
	}

	/** Returns the mean use of the capacity between two times, in percent. */
	getUtilization(from: number, to: number): number {
		const samples = this.getSamples(from, to)
		const total = samples.reduce((sum, sample) => sum + sample.totalRunning, 0)
		return (100 * total) / (samples.length * this.getCapacity())
	}

	/** Returns the milliseconds from `at` until a team reaches 95% of its share. */
	getReturnTime(team: string, at: number): number {
		const share = this.getShares(at).get(team) ?? 0
		const firstAtShare = this.samples.find(
			(sample) => sample.at > at && (sample.running.get(team) ?? 0) >= 0.95 * share
		)
		return firstAtShare ? firstAtShare.at - at : Infinity
	}

	private getWindowDistances(from: number, to: number): number[] {
		const shares = this.getShares(from)
		const samples = this.getSamples(from, to)
		return [...shares].map(([team, share]) => {
			const runningSum = samples.reduce((sum, sample) => sum + (sample.running.get(team) ?? 0), 0)
			return (100 * Math.abs(runningSum / samples.length - share)) / share
		})
	}

	private getShares(at: number): Map<string, number> {
		const demands = [...this.scenario.shares].map(([team, weight]) => {
			const demand = this.scenario.getOfferedLoad(team, at) > 0 ? this.getCapacity() : 0
			return [team, { demand, weight }] as const
		})
		return computeMaxMinShares(
			this.getCapacity(),
			new Map(demands.filter(([, row]) => row.demand > 0))
		)
	}

	private getSamples(from: number, to: number): Sample[] {
		return this.samples.filter((sample) => sample.at > from && sample.at <= to)
	}

	private getCapacity(): number {
		return this.scenario.servers * this.scenario.slots
	}
}
