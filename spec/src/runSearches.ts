import { LedgerModel } from './allowances/LedgerModel.js'
import { ledgerSearches } from './allowances/ledgerSearches.js'
import { ConfigurationModel } from './configuration/ConfigurationModel.js'
import { configurationSearches } from './configuration/configurationSearches.js'
import { HandoverModel } from './leases/HandoverModel.js'
import { LeaseModel } from './leases/LeaseModel.js'
import { leaseSearches } from './leases/leaseSearches.js'
import { LoanModel } from './loans/LoanModel.js'
import { loanSearches } from './loans/loanSearches.js'
import type { Model } from './Model.js'
import { OwnershipModel } from './ownership/OwnershipModel.js'
import { ownershipSearches } from './ownership/ownershipSearches.js'
import { search } from './search.js'
import { SubmissionModel } from './submissions/SubmissionModel.js'
import { submissionSearches } from './submissions/submissionSearches.js'

/**
 * Searches every model within each of its bounds.
 *
 * @param print - prints one line; called for each search and for each line of a violation
 * @returns whether every search was exhaustive and found no violation
 * @public
 */
export function runSearches(print: (line: string) => void): boolean {
	let hasPassed = true
	const run = <State, Action>(name: string, model: Model<State, Action>) => {
		const { states, transitions, depth, isExhaustive, violation } = search(model)
		const coverage = isExhaustive ? 'all visited' : 'NOT all visited'
		print(
			`${model.name}, ${name}: ${states} states, ${transitions} steps, depth ${depth}, ${coverage}`
		)
		if (violation) print(`  BROKEN ${violation.invariant}: ${violation.message}`)
		for (const action of violation?.trace ?? []) print(`    ${JSON.stringify(action)}`)
		hasPassed &&= isExhaustive && !violation
	}
	for (const [name, bounds] of Object.entries(ledgerSearches)) run(name, new LedgerModel(bounds))
	for (const [name, bounds] of Object.entries(loanSearches)) run(name, new LoanModel(bounds))
	for (const [name, bounds] of Object.entries(configurationSearches)) {
		run(name, new ConfigurationModel(bounds))
	}
	for (const [name, bounds] of Object.entries(ownershipSearches)) {
		run(name, new OwnershipModel(bounds))
	}
	for (const [name, bounds] of Object.entries(leaseSearches)) run(name, new LeaseModel(bounds))
	for (const [name, bounds] of Object.entries(submissionSearches)) {
		run(name, new SubmissionModel(bounds))
	}
	const { maximumLostTicks } = HandoverModel
	run(`${maximumLostTicks} ticks`, new HandoverModel(maximumLostTicks))
	return hasPassed
}
