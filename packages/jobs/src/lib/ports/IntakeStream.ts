/**
 * Streams of what callers asked for. There are several, so that one of them can be out of reach;
 * any of them takes any record.
 *
 * @public
 */
export type IntakeStream = 'intake/0' | 'intake/1' | 'intake/2'
