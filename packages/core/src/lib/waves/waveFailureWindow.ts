import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Time during which a failure counts against the failure limit of a wave.
 *
 * @public
 */
export const waveFailureWindow: Milliseconds = 3_600_000
