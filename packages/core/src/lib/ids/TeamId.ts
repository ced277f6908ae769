/**
 * Name of a team of callers.
 *
 * @public
 */
export type TeamId = string & { readonly __id?: 'team' }
