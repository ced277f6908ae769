/**
 * Public part of a caller key.
 *
 * @public
 */
export type KeyId = string & { readonly __id?: 'key' }
