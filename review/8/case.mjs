/**
 * A new configuration takes a key from one tenant and gives it to another. From then on the key must not reach
 * the jobs that the first tenant has handed in, neither to read nor to cancel them.
 */
import path from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { runCase, NotRun } from '../lib-2/Site.mjs'

const WORKERS = 3
const DAEMONS = 3
const TASK_CPU = 500
const JOB = '00000000000000d1'
const TARGET = `/q/${JOB}`
const MOVED_KEY = 'key-1'
const NEW_KEY = 'key-3'
/** `config_apply_ms` is 2,000; the calls come 3 s later than that. */
const APPLY_TIME = 5_000

const record = path.join(import.meta.dirname, 'record.txt')

runCase(record, async (site, isTrouble) => {
	configure(site, 1, [MOVED_KEY], ['key-2'])
	site.prepare = (worker) => {
		worker.getNeeds = () => TASK_CPU
	}
	for (let number = 0; number < WORKERS; number += 1)
		await site.addWorkerOn(site.addMachine(`m-${number}`, 'desk'))
	for (let number = 1; number <= DAEMONS; number += 1) site.startDaemon(number)
	await site.waitUntilReady()

	const steps = [{ count: 2, cpu: TASK_CPU, mem_mb: 256, long_running: true }]
	const submitted = await site.call(
		1,
		'POST',
		TARGET,
		{ spec: 'lasting', steps },
		{ key: MOVED_KEY }
	)
	const isRunning = async () => (await site.getState(TARGET, 1, MOVED_KEY)) === 'running'
	if (submitted.status !== 200 || !(await site.waitFor('job running', isRunning, 5_000)))
		throw new NotRun('the job does not run')

	if (isTrouble) configure(site, 7, [NEW_KEY], ['key-2', MOVED_KEY])
	else configure(site, 7, [MOVED_KEY, NEW_KEY], ['key-2'])
	await delay(APPLY_TIME)
	const served = await callWithMovedKey(site, isTrouble)
	await delay(1_000)
	const state = await site.getState(TARGET, 3, NEW_KEY)
	site.note('state-for-its-tenant', { state })
	const verdict = `with a key of another tenant: ${served.join(', ') || 'nothing served'}; its own tenant reads: ${state}`
	return { broken: served.length > 0, verdict }
})

function configure(site, version, keysOfA, keysOfB) {
	site.note('configuration', { version, team_a: keysOfA, team_b: keysOfB })
	site.configure({
		version,
		services: [{ name: 'desk' }],
		routes: [{ name: 'r-1', path_prefix: '/q/', service: 'desk' }],
		tenants: [
			{ name: 'team-a', api_keys: keysOfA, priority: 1, weight: 35, cap: {} },
			{ name: 'team-b', api_keys: keysOfB, priority: 1, weight: 35, cap: {} },
		],
	})
}

/** Reads the job and cancels it. Returns the calls that were answered with success though they must not be. */
async function callWithMovedKey(site, isForeign) {
	const served = []
	const methods = isForeign ? ['GET', 'DELETE'] : ['GET']
	for (const method of methods) {
		const { status } = await site.call(2, method, TARGET, undefined, { key: MOVED_KEY })
		if (isForeign && status >= 200 && status < 300) served.push(`${method} ${status}`)
	}
	return served
}
