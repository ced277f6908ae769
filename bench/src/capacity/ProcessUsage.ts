/**
 * Resources that a process used over a measured time.
 *
 * @internal
 */
export interface ProcessUsage {
	/** Processor use, in percent of one core. */
	readonly processorPercent: number
	/** Resident memory, in bytes. */
	readonly residentBytes: number
}
