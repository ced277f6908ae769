import { createTenant, runCase } from '../lib-3/deployment.mjs'
import { pause } from '../lib-3/http.mjs'

const RECORD = new URL('record.txt', import.meta.url).pathname
const DAEMONS = 3
const WORKERS = 8
const CPU = 16_000
/** Jobs that come at once, and tasks of each; in the control each has fewer. */
const JOBS = 120
const TASKS = 2_000
const CONTROL_TASKS = 1
const TASK = { cpu: CPU, mem_mb: 100, estimate_ms: 1_000 }
const WORK = 1_000
const SMALL = { spec: 'small', steps: [{ count: 1, cpu: 500, mem_mb: 10, estimate_ms: 500 }] }
const SMALL_JOBS = 5
/** Bounds of RULES.md, `LOST`: `finish_s`, and how long a job may have nothing running. */
const FINISH = 14_000
const IDLE = 3_000
const WATCH = 8_000
const RESTART_DELAY = 1_000

function createId(prefix, number) {
	return prefix + number.toString(16).padStart(12, '0')
}

const tenants = [createTenant('installers', 'key-1'), createTenant('planners', 'key-2')]

await runCase(RECORD, { tenants }, async (deployment, isTroubled) => {
	const { events, workers } = deployment
	await deployment.start({ daemons: DAEMONS, workers: WORKERS, cpu: CPU })
	deployment.isQuiet = true
	const names = [...deployment.daemons.keys()]
	// The platform starts a process that has ended again after a short delay.
	const ends = new Map(names.map((name) => [name, 0]))
	const restarts = setInterval(() => {
		for (const [name, daemon] of deployment.daemons) {
			if (!daemon.ended || daemon.isReplaced) continue
			daemon.isReplaced = true
			ends.set(name, ends.get(name) + 1)
			const reason = daemon.output.find((line) => line.includes('FATAL ERROR')) ?? ''
			deployment.note(`${name} has ended by itself: ${reason.slice(0, 120)}`)
			setTimeout(() => {
				if (!isOver) deployment.startDaemon(name).catch((error) => deployment.note(error.message))
			}, RESTART_DELAY)
		}
	}, 50)
	let isOver = false
	const small = []
	for (let number = 0; number < SMALL_JOBS; number += 1) {
		const id = createId('bbbb', number)
		const options = { works: 500, key: 'key-2' }
		if (await deployment.submit(names[number % DAEMONS], id, SMALL, options)) small.push(id)
	}
	const count = isTroubled ? TASKS : CONTROL_TASKS
	const job = { spec: 'large', steps: [{ count, ...TASK }] }
	const accepted = [...small]
	for (let number = 0; number < JOBS; number += 1) {
		const id = createId('aaaa', number)
		const name = names[number % DAEMONS]
		if (await deployment.submit(name, id, job, { works: WORK, tries: 2 })) accepted.push(id)
	}
	deployment.note(`end of the traffic, ${accepted.length} jobs accepted`)
	await pause(FINISH)
	const problems = []
	for (const [index, id] of accepted.entries()) {
		const key = small.includes(id) ? 'key-2' : 'key-1'
		const name = names[index % DAEMONS]
		const answer = await deployment.call(name, 'GET', `/quotes/${id}`, { key })
		if (answer.status === 0) problems.push(`LOST: no answer about ${id} at ${name}`)
	}
	const getUsed = () => workers.reduce((sum, worker) => sum + worker.usedCpu, 0)
	const isRunning = (id) =>
		workers.some((worker) => [...worker.runs.keys()].some((task) => task.startsWith(id)))
	const countDone = (id) =>
		events.filter(({ kind, task, how }) => kind === 'end' && how === 'done' && task.startsWith(id))
			.length
	const isWaiting = (id) => !small.includes(id) && countDone(id) < count
	let idleSince = Date.now()
	let longest = 0
	for (const until = Date.now() + WATCH; Date.now() < until;) {
		const waiting = accepted.filter(isWaiting)
		const isBusy = waiting.some(isRunning) || getUsed() >= (WORKERS * CPU) / 2
		if (isBusy || waiting.length === 0) idleSince = Date.now()
		longest = Math.max(longest, Date.now() - idleSince)
		await pause(20)
	}
	deployment.note(`workers: no job had anything running for ${longest} ms of the last ${WATCH} ms`)
	if (longest >= IDLE)
		problems.push(`LOST: all accepted jobs had nothing running for ${longest} ms`)
	isOver = true
	clearInterval(restarts)
	const starts = events.filter(({ kind }) => kind === 'start').length
	deployment.note(`workers: ${starts} starts`)
	for (const [name, number] of ends) deployment.note(`${name} ended by itself ${number} times`)
	return problems
})
