/**
 * Name of a backend server.
 *
 * @public
 */
export type BackendServerId = string & { readonly __id?: 'backend-server' }
