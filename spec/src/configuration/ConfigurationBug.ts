/**
 * Mistakes that the search must find in the configuration model.
 *
 * @public
 */
export type ConfigurationBug =
	'base-ignored' | 'older-copy-taken' | 'serves-before-caught-up' | 'lost-answer-guessed'
