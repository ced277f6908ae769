/**
 * Bugs that can be seeded into the configuration model. The search must find each of them.
 *
 * - `base-ignored`: an apply is accepted even if it replaces another version than the one in force
 * - `older-copy-accepted`: a daemon copies entries from a daemon that has fewer
 * - `serves-before-caught-up`: a restarted daemon serves an older version than before
 * - `lost-answer-assumed-accepted`: an apply without an outcome is reported as accepted
 *
 * @public
 */
export type ConfigurationBug =
	| 'base-ignored'
	| 'older-copy-accepted'
	| 'serves-before-caught-up'
	| 'lost-answer-assumed-accepted'
