/**
 * Class of a queue: urgent work starts before ordinary work within a team's share.
 *
 * @public
 */
export type Urgency = 'urgent' | 'ordinary'
