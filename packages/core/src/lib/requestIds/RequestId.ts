/**
 * Id of one request, issued by an entry instance: `<sequence in base 36>-<random>-<incarnation>`.
 * Sequence 0 marks ids without a record.
 *
 * @public
 */
export type RequestId = string & { readonly __id?: 'request' }
