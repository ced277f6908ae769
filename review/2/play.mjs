import { setTimeout as delay } from 'node:timers/promises'
import { runCase } from '../lib/runCase.mjs'

const DAEMONS = 3
const SERVERS = 8
const TASK_MILLISECONDS = 1_000
/** How long the partition is out of reach. */
const OUTAGE_MILLISECONDS = 6_500
/** How long the process that places the tasks is down. */
const OWNER_DOWN_MILLISECONDS = 3_500
/** Three heartbeats of a server: after this silence its entry is removed. */
const ENTRY_MILLISECONDS = 4_500
const FINISH_MILLISECONDS = 14_000
const PARTITION = 'keyed.intake/0'
/** Jobs before the disruption, and the time between two of them. */
const JOBS = ['00000000000000a0', '00000000000000a1', '00000000000000a2', '00000000000000a3']
const JOB_MILLISECONDS = 100
const LATER = ['00000000000000b0', '00000000000000b1', '00000000000000b2']
const BODY = JSON.stringify({
	spec: 'quote 17',
	steps: [{ count: 2, cpu: 1_000, mem_mb: 500, estimate_ms: 1_000 }],
})

await runCase(import.meta.dirname, async ({ deployment, recorder, isTroubled }) => {
	await deployment.startPlatform()
	await deployment.startServers(SERVERS, TASK_MILLISECONDS)
	await deployment.startDaemons(DAEMONS)
	const owner = await deployment.findOwner()
	const others = deployment.daemons.filter((daemon) => daemon !== owner)
	// The other daemons read the stream every 1.5 s or so; the last job comes just before the disruption.
	for (const job of JOBS) {
		await delay(JOB_MILLISECONDS)
		await submit(deployment, owner, job)
	}
	const server = await findServer(deployment, JOBS.at(-1))
	if (isTroubled) {
		recorder.write(`partition ${PARTITION} gives no answer for ${OUTAGE_MILLISECONDS} ms`)
		for (const { gate } of deployment.daemons) gate.silentPartitions.add(PARTITION)
		void server.leave(ENTRY_MILLISECONDS)
		await owner.killFor(OWNER_DOWN_MILLISECONDS)
		await delay(OUTAGE_MILLISECONDS)
		for (const { gate } of deployment.daemons) gate.silentPartitions.delete(PARTITION)
		recorder.write(`partition ${PARTITION} answers again`)
	}
	for (const job of LATER) await submit(deployment, others[0], job)
	await delay(FINISH_MILLISECONDS)
	const states = {}
	for (const job of [...JOBS, ...LATER])
		states[job] = (await deployment.call(others[1], 'GET', `/quotes/${job}`)).text
	const lost = Object.entries(states).filter(([, text]) => !text.includes('completed'))
	const isIdle = deployment.servers.every(({ runs }) => runs.running.length === 0)
	if (lost.length === 0) return []
	return [
		`LOST: ${lost.map(([job, text]) => `${job} ${text}`).join(', ')} ${FINISH_MILLISECONDS / 1_000} s after the end of the traffic; all other servers are idle: ${isIdle}`,
	]
})

async function submit(deployment, daemon, job) {
	const { status } = await deployment.call(daemon, 'POST', `/quotes/${job}`, BODY)
	if (status !== 200) throw new Error(`job ${job} was not accepted: ${status}`)
}

async function findServer({ servers }, job) {
	for (let tries = 0; tries < 100; tries += 1) {
		const server = servers.find(({ runs }) => runs.running.some((task) => task.startsWith(job)))
		if (server) return server
		await delay(10)
	}
	throw new Error('the job was not started')
}
