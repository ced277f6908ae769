/**
 * Streams of what callers asked for. There are several, so that some can be out of reach;
 * any of them takes any record.
 *
 * @public
 */
export type IntakeStream =
	'intake/0' | 'intake/1' | 'intake/2' | 'intake/3' | 'intake/4' | 'intake/5'
