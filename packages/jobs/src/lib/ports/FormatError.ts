/**
 * Something that was read from outside and does not have the expected form.
 *
 * @public
 */
export interface FormatError {
	readonly kind: 'format-error'
	/** Path of the field, with what was expected. */
	readonly problem: string
}
