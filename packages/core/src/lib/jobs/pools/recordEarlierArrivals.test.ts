import { expect, it } from 'vitest'
import { DemandMeter } from './DemandMeter.js'
import { getJobWork } from '../work/getJobWork.js'
import { recordEarlierArrivals } from './recordEarlierArrivals.js'
import { createTestConfiguration } from '../testing/createTestConfiguration.js'
import { createTestJob } from '../testing/createTestJob.js'

const STARTED_AT = 1_700_000_000_000
/** Milliseconds between two jobs of a busy phase, and its length. */
const JOB_INTERVAL = 20
const PHASE = 4_000

// Guards against pools that shrink when the owner changes in a busy phase: the new owner measured the
// demand from nothing.
it('gives a new owner the demand that the one before it had measured', () => {
	const configuration = createTestConfiguration()
	const jobs = Array.from({ length: PHASE / JOB_INTERVAL }, (_, number) =>
		createTestJob(`j${number}`, [{ count: 4 }], STARTED_AT + number * JOB_INTERVAL)
	)
	const before = new DemandMeter()
	for (const job of jobs) before.recordArrival('desk', getJobWork(job), job.acceptedAt - STARTED_AT)
	const after = new DemandMeter()
	recordEarlierArrivals(after, jobs, configuration, 77, STARTED_AT + PHASE)
	expect(after.getCores('desk', 77)).toBeCloseTo(before.getCores('desk', PHASE), 6)
	expect(after.getCores('desk', 77)).toBeGreaterThan(100)
})
