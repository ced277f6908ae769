/**
 * A duration, or an instant of a monotonic clock, in milliseconds.
 *
 * @public
 */
export type Milliseconds = number
