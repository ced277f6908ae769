/**
 * Error for external input that does not have the expected format.
 *
 * @public
 */
export interface FormatError {
	readonly kind: 'format-error'
	/** Path of the field and what was expected there. */
	readonly problem: string
}
