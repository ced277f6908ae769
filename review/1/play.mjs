import { setTimeout as delay } from 'node:timers/promises'
import { runCase } from '../lib/runCase.mjs'

const DAEMONS = 3
const SERVERS = 6
const TASK_DURATION_MILLISECONDS = 400
const JOBS_AFTER = 20
const JOB_INTERVAL_MILLISECONDS = 500
/** Time after the end of the traffic at which the jobs are asked for: `finish_s`. */
const FINISH_MILLISECONDS = 14_000

await runCase(import.meta.dirname, async ({ deployment, recorder, isTroubled }) => {
	await deployment.startPlatform()
	await deployment.startServers(SERVERS, TASK_DURATION_MILLISECONDS)
	await deployment.startDaemons(DAEMONS)
	const before = await submitJob(deployment, 0)
	await waitUntilCompleted(deployment, before)
	if (isTroubled) await writeForeignEntry(deployment, recorder)
	const jobs = []
	for (let number = 1; number <= JOBS_AFTER; number += 1) {
		jobs.push(await submitJob(deployment, number))
		await delay(JOB_INTERVAL_MILLISECONDS)
	}
	await delay(FINISH_MILLISECONDS)
	const states = await Promise.all(jobs.map((job) => getState(deployment, job, number(job))))
	const unfinished = jobs.filter((_, index) => states[index] !== 'completed')
	if (unfinished.length === 0) return []
	return [
		`LOST: ${unfinished.length} of ${jobs.length} accepted jobs are not completed ${FINISH_MILLISECONDS / 1_000} s after the end of the traffic, with idle servers`,
	]
})

function number(job) {
	return Number.parseInt(job, 16)
}

/** Writes an entry of another writer: of a service that is not configured, with a byte that can't be read. */
async function writeForeignEntry({ storeAddress }, recorder) {
	const key = Buffer.from('x-ledger-1')
	const value = Buffer.concat([
		Buffer.from('{"service":"ledger","address":"127.'),
		Buffer.from([0xff]),
		Buffer.from(
			'.0.9:8080","zone":"a","version":"v1","slots":8,"state":"ready","warmup_left_ms":0,"seq":1,"capacity":{"cpu":0,"mem_mb":0,"gpu":0},"labels":[]}'
		),
	])
	const length = Buffer.alloc(5)
	length.writeUInt32BE(1 + key.length + value.length, 0)
	length.writeUInt8(key.length, 4)
	const url = `http://${storeAddress}/api/log-append?topic=keyed.servers&part=0`
	const { status } = await fetch(url, { method: 'POST', body: Buffer.concat([length, key, value]) })
	recorder.write(
		`another writer -> store keyed.servers ${key.toString()}: ${value.toString('latin1')}`
	)
	recorder.write(`another writer <- store ${status}`)
}

async function submitJob(deployment, number) {
	const id = number.toString(16).padStart(16, '0')
	const body = JSON.stringify({
		spec: 'quote',
		steps: [{ count: 2, cpu: 500, mem_mb: 100, estimate_ms: 400 }],
	})
	const daemon = deployment.daemons[number % deployment.daemons.length]
	const { status } = await deployment.call(daemon, 'POST', `/quotes/${id}`, body)
	if (status !== 200) throw new Error(`job ${id} was not accepted: ${status}`)
	return id
}

async function getState(deployment, job, number) {
	const daemon = deployment.daemons[number % deployment.daemons.length]
	const { status, text } = await deployment.call(daemon, 'GET', `/quotes/${job}`)
	return status === 200 ? JSON.parse(text).state : `status ${status}`
}

async function waitUntilCompleted(deployment, job) {
	const until = Date.now() + 15_000
	while (Date.now() < until) {
		if ((await getState(deployment, job, 0)) === 'completed') return
		await delay(200)
	}
	throw new Error(`job ${job} was not completed before the disruption`)
}
