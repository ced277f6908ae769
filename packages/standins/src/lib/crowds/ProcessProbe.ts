import { readFileSync, readdirSync } from 'node:fs'

const BYTES_PER_KIBIBYTE = 1_024
const BYTES_PER_MEGABYTE = 1_048_576

/**
 * Reads what a process holds, from the kernel's files on it.
 *
 * @public
 */
export class ProcessProbe {
	constructor(private readonly pid: number) {}

	/** Whether the process lives. */
	isAlive(): boolean {
		try {
			return !/^State:\s+[ZX]/m.test(this.readStatus())
		} catch {
			return false
		}
	}

	/** Returns the largest memory that the process has had so far, in megabytes. */
	getPeakMemory(): number {
		const peak = /^VmHWM:\s+(\d+) kB$/m.exec(this.readStatus())?.[1]
		if (peak === undefined) throw new Error(`no peak memory of process ${this.pid}`)
		return (Number(peak) * BYTES_PER_KIBIBYTE) / BYTES_PER_MEGABYTE
	}

	/** Returns how many descriptors the process has open. */
	countDescriptors(): number {
		return readdirSync(`/proc/${this.pid}/fd`).length
	}

	private readStatus(): string {
		return readFileSync(`/proc/${this.pid}/status`, 'utf8')
	}
}
