import type { IntakeStream } from './IntakeStream.js'

/**
 * All streams of the intake, in the order in which they are preferred.
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
