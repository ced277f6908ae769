import { expect, test } from 'vitest'
import { search } from '../search.js'
import { configurationSearches } from './configurationSearches.js'
import type { ConfigurationBug } from './ConfigurationBug.js'
import { ConfigurationModel } from './ConfigurationModel.js'

test.each<[ConfigurationBug, string]>([
	['base-ignored', 'each-replaces-its-base'],
	['older-copy-accepted', 'served-version-never-falls'],
	['serves-before-caught-up', 'served-version-never-falls'],
	['lost-answer-assumed-accepted', 'reported-outcomes-match-log'],
])('finds %s', (bug, invariant) => {
	const result = search(new ConfigurationModel(configurationSearches.restarts, bug))
	expect(result.violation?.invariant).toBe(invariant)
})
