import { z } from 'zod'

const MAXIMUM_NAME_LENGTH = 63

/**
 * Names of fleet rows: letters, digits, `-`, `_` and `.`, beginning and ending with a letter or
 * digit, at most 63 characters.
 *
 * @internal
 */
export const nameSchema = z
	.string()
	.max(MAXIMUM_NAME_LENGTH)
	.regex(/^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$/, 'not a name (letters, digits, - _ .)')
