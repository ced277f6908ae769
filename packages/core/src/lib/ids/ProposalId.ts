/**
 * Unique id of a proposal. The fold applies each id only once, so a proposal can be appended again.
 *
 * @public
 */
export type ProposalId = string & { readonly __id?: 'proposal' }
