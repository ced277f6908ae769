import { BackendTable } from '../BackendTable.js'
import type { FleetConfiguration } from '../FleetConfiguration.js'
import { LeastSlackPolicy } from '../placement/LeastSlackPolicy.js'
import { JobTable } from '../JobTable.js'
import type { BackendScorer } from '../placement/BackendScorer.js'
import { BinPackingScorer } from '../placement/BinPackingScorer.js'
import { PlacementPlanner } from '../placement/PlacementPlanner.js'
import { createTestConfiguration } from './createTestConfiguration.js'
import type { Resources } from '../Resources.js'

/**
 * Creates tables with usable backend servers of 16 cores in the pool `desk`, and a planner for them.
 *
 * @param options.limit - resource limit of the team `installers`
 * @param options.scorer - scorer of the planner; a `BinPackingScorer` by default
 * @internal
 */
export function createTestTables(options: {
	readonly backends: number
	readonly limit?: Resources
	readonly scorer?: BackendScorer
}): {
	jobs: JobTable
	backends: BackendTable
	planner: PlacementPlanner
	configuration: FleetConfiguration
} {
	const jobs = new JobTable()
	const backends = new BackendTable()
	for (let number = 1; number <= options.backends; number += 1) {
		const row = backends.getOrCreate(`b${number}`)
		row.service = 'desk'
		row.labels = [`r${number}`]
		row.capacity = { cpu: 16_000, memory: 64_000, gpu: 0 }
		row.registered = true
		row.reconciled = true
	}
	const planner = new PlacementPlanner(
		jobs,
		backends,
		new LeastSlackPolicy(),
		options.scorer ?? new BinPackingScorer()
	)
	return { jobs, backends, planner, configuration: createTestConfiguration(options.limit) }
}
