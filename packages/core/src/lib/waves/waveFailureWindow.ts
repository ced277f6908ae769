import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Time during which a failure counts against the failure limit of a wave.
 *
 * @public
 */
export const WAVE_FAILURE_WINDOW: Milliseconds = 3_600_000
