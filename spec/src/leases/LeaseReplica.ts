/** What a process has read of the log. */
export interface LeaseReplica {
	/** By token, from 1: ticks until the leases of the term have expired; undefined if never read. */
	readonly expiryTicks: readonly (number | undefined)[]
	/** By token, from 1: what was written about the term since the process last read. */
	readonly unread: readonly ('none' | 'ended' | 'record')[]
	/** Ticks until the leases on a lost server have expired; undefined without such a record. */
	readonly lostTicks: number | undefined
	readonly isLostUnread: boolean
}
