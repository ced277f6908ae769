import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { setTimeout as delay } from 'node:timers/promises'

const START_TIMEOUT_MILLISECONDS = 20_000
const STOP_TIMEOUT_MILLISECONDS = 40_000
const MAXIMUM_KEPT_LINES = 200

interface ManagedProcess {
	readonly name: string
	readonly child: ChildProcess
	/** Newest lines of the output, oldest first. */
	readonly lines: string[]
}

/**
 * Processes of a demo or a failure test, addressed by name. Signals go to the processes that the
 * group has started and to no others.
 *
 * @public
 */
export class ProcessGroup {
	/** Called with each line that a process writes. */
	onLine: (name: string, line: string) => void = () => undefined
	private readonly managedProcesses = new Map<string, ManagedProcess>()

	/**
	 * Starts a Node.js program and resolves once a line of its output contains `marker`. Rejects if
	 * the program exits before that, or after a timeout.
	 *
	 * @param args - path of the program, then its arguments
	 * @param environment - environment variables in addition to the inherited ones
	 */
	async start(
		name: string,
		args: readonly string[],
		marker: string,
		environment: Readonly<Record<string, string>> = {}
	): Promise<void> {
		const env = { ...process.env, ...environment }
		const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'], env })
		const managedProcess: ManagedProcess = { name, child, lines: [] }
		this.managedProcesses.set(name, managedProcess)
		await new Promise<void>((resolve, reject) => {
			const timer = setTimeout(() => {
				reject(
					new Error(
						`${name} did not start in time; its last output: ${managedProcess.lines.join(' | ')}`
					)
				)
			}, START_TIMEOUT_MILLISECONDS)
			const settle = (complete: () => void): void => {
				clearTimeout(timer)
				complete()
			}
			readLines(managedProcess, (line) => {
				this.onLine(name, line)
				if (line.includes(marker)) settle(resolve)
			})
			child.once('exit', (code) => {
				settle(() => {
					reject(
						new Error(
							`${name} exited with code ${String(code)}; its last output: ${managedProcess.lines.join(' | ')}`
						)
					)
				})
			})
		})
	}

	/** Returns the newest lines of a process's output, oldest first. */
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

	/**
	 * Signals one process to exit and waits for that; kills it if it does not exit in time.
	 *
	 * @returns its exit code; null if a signal killed it or there is no such process
	 */
	async stop(name: string, signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
		const managedProcess = this.managedProcesses.get(name)
		if (!managedProcess) return null
		this.managedProcesses.delete(name)
		const { child } = managedProcess
		if (child.exitCode !== null || child.signalCode !== null) return child.exitCode
		const exited = once(child, 'exit')
		child.kill(signal)
		const result = await Promise.race([exited, delay(STOP_TIMEOUT_MILLISECONDS, 'late' as const)])
		if (result === 'late') {
			child.kill('SIGKILL')
			await exited
		}
		return child.exitCode
	}

	/**
	 * Stops all processes at the same time; signals the newest first.
	 *
	 * @returns names of processes that did not exit with code 0
	 */
	async stopAll(): Promise<string[]> {
		const names = this.getNames().reverse()
		const codes = await Promise.all(names.map((name) => this.stop(name)))
		return names.filter((_, index) => codes[index] !== 0)
	}
}

function readLines(managedProcess: ManagedProcess, onLine: (line: string) => void): void {
	for (const stream of [managedProcess.child.stdout, managedProcess.child.stderr]) {
		let incompleteLine = ''
		stream?.setEncoding('utf8')
		stream?.on('data', (text: string) => {
			const lines = (incompleteLine + text).split('\n')
			incompleteLine = lines.pop() ?? ''
			for (const line of lines) {
				managedProcess.lines.push(line)
				if (managedProcess.lines.length > MAXIMUM_KEPT_LINES) managedProcess.lines.shift()
				onLine(line)
			}
		})
	}
}
