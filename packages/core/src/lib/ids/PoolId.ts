/**
 * Name of a pool of backend servers.
 *
 * @public
 */
export type PoolId = string & { readonly __id?: 'pool' }
