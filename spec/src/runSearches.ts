import { LedgerModel } from './allowances/LedgerModel.js'
import { ledgerSearches } from './allowances/ledgerSearches.js'
import { ConfigurationModel } from './configuration/ConfigurationModel.js'
import { configurationSearches } from './configuration/configurationSearches.js'
import { LoanModel } from './loans/LoanModel.js'
import { loanSearches } from './loans/loanSearches.js'
import type { Model } from './Model.js'
import { OwnershipModel } from './ownership/OwnershipModel.js'
import { ownershipSearches } from './ownership/ownershipSearches.js'
import { search } from './search.js'

/**
 * Searches every model within its bounds.
 *
 * @param print - takes a line for each search
 * @returns whether every search visited all states and found every invariant to hold
 * @public
 */
export function runSearches(print: (line: string) => void): boolean {
	let isGood = true
	const run = <State, Action>(name: string, model: Model<State, Action>) => {
		const { states, transitions, depth, isExhaustive, violation } = search(model)
		const extent = isExhaustive ? 'all visited' : 'NOT all visited'
		print(
			`${model.name}, ${name}: ${states} states, ${transitions} steps, depth ${depth}, ${extent}`
		)
		if (violation) print(`  BROKEN ${violation.invariant}: ${violation.message}`)
		for (const action of violation?.trace ?? []) print(`    ${JSON.stringify(action)}`)
		isGood &&= isExhaustive && !violation
	}
	for (const [name, bounds] of Object.entries(ledgerSearches)) run(name, new LedgerModel(bounds))
	for (const [name, bounds] of Object.entries(loanSearches)) run(name, new LoanModel(bounds))
	for (const [name, bounds] of Object.entries(configurationSearches)) {
		run(name, new ConfigurationModel(bounds))
	}
	for (const [name, bounds] of Object.entries(ownershipSearches)) {
		run(name, new OwnershipModel(bounds))
	}
	return isGood
}
