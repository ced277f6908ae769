/**
 * A row of the platform's instance list.
 *
 * @public
 */
export interface ListedInstance {
	readonly name: string
	readonly kind: 'entry' | 'backend'
	readonly address: string
	readonly availabilityZone: string
	readonly state: 'live' | 'leaving'
}
