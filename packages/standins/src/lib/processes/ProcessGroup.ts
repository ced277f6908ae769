import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { setTimeout as delay } from 'node:timers/promises'

const START_TIMEOUT_MILLISECONDS = 20_000
const STOP_TIMEOUT_MILLISECONDS = 40_000
const MAXIMUM_KEPT_LINES = 200

interface ManagedProcess {
	readonly name: string
	readonly child: ChildProcess
	/** Newest lines of its output, oldest first. */
	readonly lines: string[]
}

/**
 * Processes of a demo or a failure test, started by name and ended by pid.
 *
 * @public
 */
export class ProcessGroup {
	private readonly managedProcesses = new Map<string, ManagedProcess>()

	/**
	 * Starts a Node.js program and resolves once a line of its output contains `marker`.
	 *
	 * @param args - path of the program and its arguments
	 * @param environment - variables beside the inherited ones
	 */
	async start(
		name: string,
		args: readonly string[],
		marker: string,
		environment: Readonly<Record<string, string>> = {}
	): Promise<void> {
		const env = { ...process.env, ...environment }
		const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'], env })
		const row: ManagedProcess = { name, child, lines: [] }
		this.managedProcesses.set(name, row)
		await new Promise<void>((resolve, reject) => {
			const timer = setTimeout(() => {
				reject(new Error(`${name} did not start: ${row.lines.join(' | ')}`))
			}, START_TIMEOUT_MILLISECONDS)
			const settle = (act: () => void): void => {
				clearTimeout(timer)
				act()
			}
			readLines(row, (line) => {
				if (line.includes(marker)) settle(resolve)
			})
			child.once('exit', (code) => {
				settle(() => {
					reject(new Error(`${name} ended with ${String(code)}: ${row.lines.join(' | ')}`))
				})
			})
		})
	}

	/** Newest lines that a process wrote. */
	getLines(name: string): readonly string[] {
		return this.managedProcesses.get(name)?.lines ?? []
	}

	getPid(name: string): number | undefined {
		return this.managedProcesses.get(name)?.child.pid
	}

	getNames(): string[] {
		return [...this.managedProcesses.keys()]
	}

	/** Sends a signal to one process. */
	signal(name: string, signal: NodeJS.Signals): void {
		this.managedProcesses.get(name)?.child.kill(signal)
	}

	/** Asks one process to end and resolves with its exit code; null after a kill. */
	async stop(name: string, signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
		const row = this.managedProcesses.get(name)
		if (!row) return null
		this.managedProcesses.delete(name)
		const { child } = row
		if (child.exitCode !== null || child.signalCode !== null) return child.exitCode
		const exited = once(child, 'exit')
		child.kill(signal)
		const end = await Promise.race([exited, delay(STOP_TIMEOUT_MILLISECONDS, 'late' as const)])
		if (end === 'late') {
			child.kill('SIGKILL')
			await exited
		}
		return child.exitCode
	}

	/** Ends every process, the newest first; resolves with the names of those that did not exit 0. */
	async stopAll(): Promise<string[]> {
		const names = this.getNames().reverse()
		const codes = await Promise.all(names.map((name) => this.stop(name)))
		return names.filter((_, index) => codes[index] !== 0)
	}
}

function readLines(row: ManagedProcess, onLine: (line: string) => void): void {
	for (const stream of [row.child.stdout, row.child.stderr]) {
		let rest = ''
		stream?.setEncoding('utf8')
		stream?.on('data', (text: string) => {
			const lines = (rest + text).split('\n')
			rest = lines.pop() ?? ''
			for (const line of lines) {
				row.lines.push(line)
				if (row.lines.length > MAXIMUM_KEPT_LINES) row.lines.shift()
				onLine(line)
			}
		})
	}
}
