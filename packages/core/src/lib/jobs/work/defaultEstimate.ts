/**
 * Expected duration of a task without an estimate, in milliseconds.
 *
 * @public
 */
export const defaultEstimate = 1_000
