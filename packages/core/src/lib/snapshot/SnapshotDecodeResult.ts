import type { FleetState } from '../state/FleetState.js'

/**
 * Result of decoding a snapshot.
 *
 * @public
 */
export type SnapshotDecodeResult =
	| { readonly type: 'decoded'; readonly state: FleetState }
	| { readonly type: 'damaged'; readonly reason: string }
