/**
 * Throws if `condition` is false. Use it for invariants of the program, not to validate input.
 *
 * @public
 */
export function assert(condition: unknown, message: string): asserts condition {
	if (!condition) throw new Error(`assertion failed: ${message}`)
}
