import { expect, test } from 'vitest'
import { search } from '../search.js'
import { configurationSearches } from './configurationSearches.js'
import type { ConfigurationMistake } from './ConfigurationMistake.js'
import { ConfigurationModel } from './ConfigurationModel.js'

test.each<[ConfigurationMistake, string]>([
	['base-ignored', 'each-replaces-its-base'],
	['older-copy-taken', 'served-version-never-falls'],
	['serves-before-caught-up', 'served-version-never-falls'],
	['lost-answer-guessed', 'operators-are-told-the-truth'],
])('finds %s', (mistake, invariant) => {
	const result = search(new ConfigurationModel(configurationSearches.restarts, mistake))
	expect(result.violation?.invariant).toBe(invariant)
})
