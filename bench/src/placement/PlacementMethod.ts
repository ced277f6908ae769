import type { PlacementPolicy } from './policies/PlacementPolicy.js'

/**
 * How entry instances find slots: each by a policy and the digests of its peers, or by grants of the
 * pool's slot owner.
 *
 * @internal
 */
export type PlacementMethod =
	| { readonly type: 'policy'; readonly create: (random: () => number) => PlacementPolicy }
	| { readonly type: 'owner' }
