/**
 * Id of a caller key: its public part.
 *
 * @public
 */
export type KeyId = string & { readonly __id?: 'key' }
