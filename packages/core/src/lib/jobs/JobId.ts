/**
 * Id of a job, chosen by its caller: 16 hexadecimal digits.
 *
 * @public
 */
export type JobId = string
