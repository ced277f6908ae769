import { runCase } from '../lib-3/deployment.mjs'
import { pause, waitFor } from '../lib-3/http.mjs'

const RECORD = new URL('record.txt', import.meta.url).pathname
const WORKERS = 7
const CPU = 16_000
const JOBS = 6
/** How long the worker fails what it is told to start: `for_s` of the site's `srv_grey` with `errors`. */
const OUTAGE = 6_500
/** Bounds of RULES.md, `MIXED`: `visible_ms` + 2 s. */
const VISIBLE = 3_000 + 2_000
const LASTING = { spec: 'lasting', steps: [{ count: WORKERS - 1, cpu: CPU, long_running: true }] }
const QUICK = { spec: 'quick', steps: [{ count: 1, cpu: 1_000, mem_mb: 10, estimate_ms: 500 }] }

await runCase(RECORD, {}, async (deployment, isTroubled) => {
	const { workers, events } = deployment
	await deployment.start({ daemons: 3, workers: WORKERS, cpu: CPU })
	const names = [...deployment.daemons.keys()]
	// Tasks that last fill all workers but one.
	await deployment.submit(names[0], 'aaaa000000000000', LASTING)
	const isFull = () => workers.filter(({ usedCpu }) => usedCpu === CPU).length === WORKERS - 1
	if (!(await waitFor(isFull, 10_000))) throw new Error('the workers are not full')
	const free = workers.find(({ usedCpu }) => usedCpu === 0)
	await pause(4_000)
	if (isTroubled) {
		deployment.note(`${free.id} answers each start with 503 from now on, and starts nothing`)
		free.fault = (path) => (path === '/api/run-start' ? { status: 503 } : undefined)
	}
	const troubledAt = Date.now()
	const accepted = new Map()
	for (let number = 0; number < JOBS; number += 1) {
		const id = `bbbb${number.toString(16).padStart(12, '0')}`
		if (await deployment.submit(names[number % 3], id, QUICK, { works: 500 }))
			accepted.set(id, Date.now())
		await pause(100)
	}
	const hasBegun = (id) => events.some(({ kind, task }) => kind === 'start' && task.startsWith(id))
	const problems = []
	while (Date.now() < troubledAt + OUTAGE) {
		await pause(300)
		for (const name of names) {
			const now = Date.now()
			const waiting = [...accepted].filter(([id, at]) => at + VISIBLE < now && !hasBegun(id))
			const answer = await deployment.call(name, 'GET', '/quotes/')
			const stillWaiting = waiting.filter(([id]) => !hasBegun(id))
			if (answer.status !== 200 || answer.json.waiting >= stillWaiting.length / 2) continue
			problems.push(
				`MIXED: ${name} gives ${answer.json.waiting} as waiting; ${stillWaiting.length} jobs accepted over ${VISIBLE} ms before have not begun`
			)
		}
	}
	free.fault = () => undefined
	deployment.note(`${free.id} is sound`)
	await pause(4_000)
	deployment.note(
		`${[...accepted.keys()].filter(hasBegun).length} of ${JOBS} quick jobs have begun`
	)
	return problems
})
