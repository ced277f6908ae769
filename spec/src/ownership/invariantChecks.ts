import type { OwnershipState } from './OwnershipState.js'

/**
 * Checks of invariants. Each returns a description of the violation, or undefined.
 */
export const invariantChecks = {
	checkSingleRun({ servers, log }: OwnershipState): string | undefined {
		for (const task of log.tasks.keys()) {
			const runs = servers.flatMap(({ running }) => running.filter(([other]) => other === task))
			if (runs.length > 1) return `task ${task} runs ${runs.length} times`
		}
		return undefined
	},

	checkNoRunAfterEnd({ servers, log }: OwnershipState): string | undefined {
		for (const { running } of servers) {
			for (const [task] of running) {
				if (log.tasks[task]?.phase === 'done') return `task ${task} runs after its end`
			}
		}
		return undefined
	},

	/** Returns the violation of an invariant that a step has recorded. */
	getViolation({ violation }: OwnershipState, invariant: string): string | undefined {
		return violation?.invariant === invariant ? violation.message : undefined
	},
}
