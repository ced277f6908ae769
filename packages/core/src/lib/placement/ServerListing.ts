/**
 * What the platform's instance list says of a backend server: `removed` when it was listed before
 * and is not any more, `unlisted` when it never was.
 *
 * @public
 */
export type ServerListing = 'live' | 'leaving' | 'removed' | 'unlisted'
