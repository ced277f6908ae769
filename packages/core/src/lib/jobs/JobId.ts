/**
 * The caller's own id of a job; 16 hexadecimal digits.
 *
 * @public
 */
export type JobId = string
