/**
 * Id of one incarnation of an entry instance; a daemon gets a new one each time it starts.
 *
 * @public
 */
export type InstanceId = string & { readonly __id?: 'instance' }
