import type { LeaseRecord } from './LeaseRecord.js'

/** A term, as the process that holds it knows it. */
export interface LeaseOwner {
	readonly token: number
	/** Ticks for which the owner may still send orders; negative if it may not. */
	readonly silenceTicks: number
	readonly isTermDurable: boolean
	/** Ticks until the leases of all earlier terms have expired; undefined until the fence is read. */
	readonly inheritedTicks: number | undefined
	/** Ticks until the leases of its own orders have expired. */
	readonly orderedTicks: number
	/** Whether the log may hold a record that leases are not renewed. Orders wait for its deletion. */
	readonly isLost: boolean
	/** Whether the server has listed no run under this token, and no order was sent to it. */
	readonly isServerEmpty: boolean
	/** Append in flight; an owner has one at a time. `silenceTicks` counts from its first attempt. */
	readonly append:
		| { readonly record: LeaseRecord; readonly isWritten: boolean; readonly silenceTicks: number }
		| undefined
}
