import type { IntakeStream } from './IntakeStream.js'

/**
 * All intake streams in order of preference.
 *
 * @public
 */
export const intakeStreams: readonly IntakeStream[] = [
	'intake/0',
	'intake/1',
	'intake/2',
	'intake/3',
	'intake/4',
	'intake/5',
]
