/**
 * Name of a queue.
 *
 * @public
 */
export type QueueId = string & { readonly __id?: 'queue' }
