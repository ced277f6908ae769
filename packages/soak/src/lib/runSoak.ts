import { writeFileSync } from 'node:fs'
import path from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { checkRecord } from './checkRecord.js'
import { createFaultPlan } from './createFaultPlan.js'
import { createRandom } from './createRandom.js'
import { FaultInjector } from './FaultInjector.js'
import type { PlannedFault } from './PlannedFault.js'
import { SoakCaller } from './SoakCaller.js'
import { SoakFleet } from './SoakFleet.js'
import type { SoakOptions } from './SoakOptions.js'

/** Time after the last fault for jobs to end: leases of a lost owner, and retries of callers. */
const SETTLE_MILLISECONDS = 25_000
/** Time after the last fault in which lasting tasks must have come back, in milliseconds. */
const CALM_MILLISECONDS = 10_000
/** Time for an instance to see the newest state once it reaches the store again. */
const RECOVERY_MILLISECONDS = 4_000

/**
 * Runs daemons, disturbs them from outside, and checks what callers and backend servers saw.
 *
 * @param plan - faults to inject; those that the seed determines by default
 * @public
 */
export async function runSoak(
	options: SoakOptions,
	plan: readonly PlannedFault[] = createFaultPlan(options.seed, options.duration)
): Promise<SoakReport> {
	const fleet = new SoakFleet(options)
	const caller = new SoakCaller(fleet, createRandom(options.seed + 1), options.instances)
	const injector = new FaultInjector(fleet, caller, options)
	try {
		await fleet.start()
		const faults = injector.run(plan)
		const jobs: Promise<void>[] = []
		const endsAt = Date.now() + options.duration
		for (let number = 1; Date.now() < endsAt; number += 1) {
			jobs.push(caller.runJob(number))
			await delay(options.submissionInterval)
		}
		await faults
		await delay(CALM_MILLISECONDS)
		caller.endLastingJobs()
		await Promise.race([Promise.all(jobs), delay(SETTLE_MILLISECONDS)])
		caller.stop()
		await Promise.all(jobs)
		await delay(RECOVERY_MILLISECONDS)
		await caller.queryAll()
	} finally {
		caller.close()
		await fleet.stop()
	}
	const { faults, disturbances, withdrawals } = injector
	const { taskCpu, cpuLimit } = SoakFleet
	const { jobs: records, calls } = caller
	const { runs } = fleet
	writeLines(path.join(options.folder, 'runs.jsonl'), runs)
	writeLines(path.join(options.folder, 'plan.jsonl'), plan)
	const seen = { jobs: records, calls, runs, faults, disturbances, withdrawals }
	const record = { ...seen, taskCpu, cpuLimit }
	return {
		problems: checkRecord(record),
		jobs: records.length,
		accepted: records.filter(({ acceptedAt }) => acceptedAt !== undefined).length,
		runs: runs.filter(({ kind }) => kind === 'started').length,
		faults: plan.length,
	}
}

interface SoakReport {
	/** One line for each broken promise. */
	readonly problems: readonly string[]
	readonly jobs: number
	readonly accepted: number
	readonly runs: number
	readonly faults: number
}

/** Writes a file with one line of JSON for each item. */
function writeLines(file: string, items: readonly object[]): void {
	writeFileSync(file, items.map((item) => `${JSON.stringify(item)}\n`).join(''))
}
