import { setTimeout as delay } from 'node:timers/promises'
import { createConfiguration } from '../lib/createConfiguration.mjs'
import { runCase } from '../lib/runCase.mjs'

const DAEMONS = 3
const SERVERS = 8
const TASK_MILLISECONDS = 2_000
const JOBS = 6
const FINISH_MILLISECONDS = 14_000
/** Time for which nothing of a job may run although it could. */
const IDLE_MILLISECONDS = 3_000

await runCase(import.meta.dirname, async ({ deployment, recorder, isTroubled }) => {
	await deployment.startPlatform()
	await deployment.startServers(SERVERS, TASK_MILLISECONDS)
	await deployment.startDaemons(DAEMONS)
	const step = { count: 1, cpu: 1_000, mem_mb: 500, estimate_ms: TASK_MILLISECONDS }
	const body = JSON.stringify({ spec: 'quote 17', steps: [step, { ...step, depends_on: [0] }] })
	const jobs = Array.from({ length: JOBS }, (_, index) => `00000000000000a${index}`)
	for (const [index, job] of jobs.entries()) {
		const daemon = deployment.daemons[index % DAEMONS]
		const { status } = await deployment.call(daemon, 'POST', `/quotes/${job}`, body)
		if (status !== 200) throw new Error(`job ${job} was not accepted: ${status}`)
	}
	await delay(TASK_MILLISECONDS / 2)
	if (isTroubled) {
		const configuration = createConfiguration({ version: 5, quotes: 'quotes-by-mail' })
		recorder.write(`operator -> store config ${JSON.stringify(configuration)}`)
		deployment.store.put('keyed.op', 'config', configuration)
	}
	await delay(FINISH_MILLISECONDS)
	const violations = []
	for (const [index, job] of jobs.entries()) {
		const daemon = deployment.daemons[(index + 1) % DAEMONS]
		const { status, text } = await deployment.call(daemon, 'GET', `/quotes/${job}`)
		const idle = Date.now() - getLatestEvent(deployment, job)
		const isFinal = text.includes('completed')
		if (!isFinal && idle > IDLE_MILLISECONDS)
			violations.push(
				`${job} is answered ${status} ${text} and has had nothing running for ${idle} ms`
			)
	}
	return violations.length === 0 ? [] : [`LOST: ${violations.join(', ')}; all servers are idle`]
})

/** Returns when a run of the job last started or ended, in milliseconds since 1970. */
function getLatestEvent({ servers }, job) {
	const events = servers.flatMap((server) => server.events)
	return Math.max(...events.filter(({ task }) => task.startsWith(job)).map(({ at }) => at))
}
