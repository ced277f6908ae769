import type { PlacementPolicy } from './policies/PlacementPolicy.js'

/**
 * How entry instances find slots: by a policy and digests, or from the owner of the pool's slots.
 *
 * @internal
 */
export type PlacementMethod =
	| { readonly type: 'policy'; readonly create: (random: () => number) => PlacementPolicy }
	| { readonly type: 'owner' }
