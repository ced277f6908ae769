/**
 * Expected duration of a task whose caller gave no estimate, in milliseconds.
 *
 * @public
 */
export const defaultEstimate = 1_000
