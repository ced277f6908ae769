import { readFileSync } from 'node:fs'

const TICKS_PER_SECOND = 100
const BYTES_PER_PAGE = 4096
/** Positions in `/proc/PID/stat`, counted from the field after the command name. */
const USER_TIME_FIELD = 11
const SYSTEM_TIME_FIELD = 12

/**
 * Reads the processor time and resident memory of a process from `/proc`.
 *
 * @internal
 */
export function readProcessStats(pid: number): { processorSeconds: number; residentBytes: number } {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
	const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])
	const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1])
	return { processorSeconds: ticks / TICKS_PER_SECOND, residentBytes: pages * BYTES_PER_PAGE }
}
