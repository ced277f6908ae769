/**
 * Name of one request, issued by an entry instance:
 * `<sequence in base 36>-<random>-<incarnation>`.
 *
 * @public
 */
export type RequestId = string & { readonly __id?: 'request' }
