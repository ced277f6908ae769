import { expect, it } from 'vitest'
import { DemandMeter } from './DemandMeter.js'
import { DemandPoolPolicy } from './DemandPoolPolicy.js'
import type { PoolState } from './PoolState.js'

const MACHINE_CORES = 16
/** Cores that the jobs of the burst use if they all run at once, each for a second. */
const BURST_CORES = 1_080
/** Time from the order for a machine until it can run tasks, in milliseconds. */
const ARRIVAL_TIME = 1_600

// Guards against a burst that counts as a lasting rise and takes the machines that other pools need.
it('a burst of jobs asks for at most twice the machines that it can use', () => {
	const demand = new DemandMeter()
	demand.recordArrival('desk', BURST_CORES * 1_000, 0)
	const pool: PoolState = {
		service: 'desk',
		spare: false,
		machineCores: MACHINE_CORES,
		machines: [],
		usableMachines: 0,
		arrivingMachines: 0,
		arrivalTime: ARRIVAL_TIME,
		demandCores: demand.getCores('desk', 0),
		usedCores: 0,
		pendingCores: BURST_CORES,
		lateCores: 0,
		lastingCores: 0,
		minimumLastingMachines: 0,
		missingLastingMachines: 0,
	}
	const usable = BURST_CORES / MACHINE_CORES
	// A tenth more, because tasks do not fill machines evenly.
	expect(new DemandPoolPolicy().getTargetSize(pool)).toBeLessThanOrEqual(Math.ceil(usable * 2.2))
})
