/**
 * Name of a rack, the smallest failure domain.
 *
 * @public
 */
export type RackId = string & { readonly __id?: 'rack' }
