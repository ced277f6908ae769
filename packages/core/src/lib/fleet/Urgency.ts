/**
 * Priority class of a queue: within a team's share, urgent requests start before ordinary ones.
 *
 * @public
 */
export type Urgency = 'urgent' | 'ordinary'
