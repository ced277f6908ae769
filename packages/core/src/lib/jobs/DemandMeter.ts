/** Time constant of the measured rate, in milliseconds. */
const TIME_CONSTANT = 900

interface Rate {
	/** Core-milliseconds a millisecond at `at`, which is cores. */
	cores: number
	at: number
}

/**
 * Measures how much work arrives for each service, as the cores that it would keep busy.
 *
 * @public
 */
export class DemandMeter {
	private readonly rates = new Map<string, Rate>()

	/**
	 * @param work - work that has arrived, in core-milliseconds
	 */
	recordArrival(service: string, work: number, now: number): void {
		const cores = this.getCores(service, now) + work / TIME_CONSTANT
		this.rates.set(service, { cores, at: now })
	}

	getCores(service: string, now: number): number {
		const rate = this.rates.get(service)
		return rate ? rate.cores * Math.exp((rate.at - now) / TIME_CONSTANT) : 0
	}
}
