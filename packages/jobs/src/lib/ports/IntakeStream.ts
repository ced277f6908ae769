/**
 * Streams for the submissions and cancellations of callers. Any record may go to any of them; there
 * are several so that writes continue while some are unreachable.
 *
 * @public
 */
export type IntakeStream =
	'intake/0' | 'intake/1' | 'intake/2' | 'intake/3' | 'intake/4' | 'intake/5'
