import { z } from 'zod'

const MAXIMUM_NAME_LENGTH = 63

/**
 * Schema of the names of fleet rows: at most 63 letters, digits, `-`, `_` and `.`, beginning and
 * ending with a letter or digit.
 *
 * @internal
 */
export const nameSchema = z
	.string()
	.max(MAXIMUM_NAME_LENGTH)
	.regex(/^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$/, 'not a name (letters, digits, - _ .)')
