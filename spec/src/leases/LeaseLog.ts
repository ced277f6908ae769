/** The log, with the newest record of each key. */
export interface LeaseLog {
	/** Fencing token below which a fenced record is refused. */
	readonly token: number
	/** By token, from 1: whether the term's record was never written, is there or was deleted. */
	readonly terms: readonly ('unwritten' | 'written' | 'ended')[]
	/** Ticks in the record that leases on the server are not renewed; undefined if there is none. */
	readonly lostTicks: number | undefined
}
