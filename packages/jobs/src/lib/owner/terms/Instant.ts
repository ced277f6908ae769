/**
 * When something happened, on two clocks, in milliseconds.
 *
 * @public
 */
export interface Instant {
	/** On the monotonic clock, which may stand still while the machine is suspended. */
	readonly monotonic: number
	/** Since 1970, on a clock that operators may set. */
	readonly wall: number
}
