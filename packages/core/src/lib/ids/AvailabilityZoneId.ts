/**
 * Name of an availability zone.
 *
 * @public
 */
export type AvailabilityZoneId = string & { readonly __id?: 'availability-zone' }
