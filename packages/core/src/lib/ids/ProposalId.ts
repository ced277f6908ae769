/**
 * Unique id of a proposal; the fold takes each id once.
 *
 * @public
 */
export type ProposalId = string & { readonly __id?: 'proposal' }
