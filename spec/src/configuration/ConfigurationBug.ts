/**
 * Bugs that can be seeded into the configuration model. The search must find each of them.
 *
 * @public
 */
export type ConfigurationBug =
	'base-ignored' | 'older-copy-taken' | 'serves-before-caught-up' | 'lost-answer-guessed'
