/**
 * State of a backend server in the platform's instance list: `removed` if it is no longer listed,
 * `unlisted` if it has never been listed.
 *
 * @public
 */
export type ServerListing = 'live' | 'leaving' | 'removed' | 'unlisted'
