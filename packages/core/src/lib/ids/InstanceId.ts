/**
 * Name of one incarnation of an entry instance; a restarted daemon gets a new one.
 *
 * @public
 */
export type InstanceId = string & { readonly __id?: 'instance' }
