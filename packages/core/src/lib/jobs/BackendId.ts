/**
 * Identifies one registration of a backend server.
 *
 * @public
 */
export type BackendId = string
