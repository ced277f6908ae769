/**
 * Throws when `condition` does not hold. For what must hold whatever the input is.
 *
 * @public
 */
export function assert(condition: unknown, message: string): asserts condition {
	if (!condition) throw new Error(`assertion failed: ${message}`)
}
