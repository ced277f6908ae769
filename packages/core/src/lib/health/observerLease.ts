import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Time after its last heartbeat during which the reports of an entry instance count.
 *
 * @public
 */
export const OBSERVER_LEASE: Milliseconds = 120_000
