/**
 * Bugs that can be seeded into the hand-over model. Each lets changes of the owner hold a task up for
 * ever.
 *
 * - `never-recorded`: an owner does not record until when the leases on the lost server may last
 * - `recorded-after-term`: an owner does so after the record of its term, and is killed in between
 * - `recorded-once`: an owner does so when its term begins, and not again as time passes
 */
export type HandoverBug = 'never-recorded' | 'recorded-after-term' | 'recorded-once'
