/**
 * What a process used over a span.
 *
 * @internal
 */
export interface ProcessUsage {
	/** Part of one core, in percent. */
	readonly processorPercent: number
	/** Resident memory, in bytes. */
	readonly residentBytes: number
}
