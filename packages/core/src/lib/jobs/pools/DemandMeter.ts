/** Time constant of the exponential decay, in milliseconds. */
const TIME_CONSTANT = 900

interface Rate {
	/** Core-milliseconds of work per millisecond at time `at`. */
	cores: number
	at: number
}

/**
 * Measures the rate at which work arrives for each service, as the number of cores that it keeps
 * busy. The rate decays exponentially.
 *
 * @public
 */
export class DemandMeter {
	private readonly rates = new Map<string, Rate>()

	/**
	 * Records work that has arrived.
	 *
	 * @param work - core-milliseconds
	 * @param age - milliseconds since it arrived
	 */
	recordArrival(service: string, work: number, now: number, age = 0): void {
		const remaining = work * Math.exp(-Math.max(0, age) / TIME_CONSTANT)
		const cores = this.getCores(service, now) + remaining / TIME_CONSTANT
		this.rates.set(service, { cores, at: now })
	}

	/** Returns the cores that arriving work keeps busy. */
	getCores(service: string, now: number): number {
		const rate = this.rates.get(service)
		return rate ? rate.cores * Math.exp((rate.at - now) / TIME_CONSTANT) : 0
	}
}
