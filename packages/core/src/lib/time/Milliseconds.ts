/**
 * A duration, or an instant on a monotonic clock, in milliseconds.
 *
 * @public
 */
export type Milliseconds = number
