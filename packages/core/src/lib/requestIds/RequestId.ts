/**
 * Name of one request, issued by an entry instance; sequence 0 stands for ids without a record:
 * `<sequence in base 36>-<random>-<incarnation>`.
 *
 * @public
 */
export type RequestId = string & { readonly __id?: 'request' }
