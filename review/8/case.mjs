/**
 * Callers hand in scheduled jobs, each of which is accepted: an hourly task pair for a year. Nothing of them is
 * due for an hour. The daemons must stay up and answer for what they have accepted.
 */
import path from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { runCase } from '../lib-2/Site.mjs'

const WORKERS = 7
const DAEMONS = 3
const TASK_CPU = 880
/** Occurrences of one job: every hour for a year. Without the disruption, as many as on the sheet. */
const OCCURRENCES = 8_760
const USUAL_OCCURRENCES = 8
const TASKS = 2
const HOUR = 3_600_000
const JOBS = 24
const JOB_INTERVAL = 600
/** The platform starts a process again after a short delay. */
const RESTART_DELAY = 700
const OBSERVED_TIME = 30_000
const MAX_OWN_ENDS = 3
const MAX_MACHINES = 2
const FINISH_TIME = 14_000
const PROBE = '/q/00000000000000b9'

const record = path.join(import.meta.dirname, 'record.txt')

runCase(record, async (site, isTrouble) => {
	site.configure({
		services: [{ name: 'desk' }],
		routes: [{ name: 'r-1', path_prefix: '/q/', service: 'desk' }],
	})
	site.prepare = (worker) => {
		worker.getNeeds = () => TASK_CPU
	}
	for (let number = 0; number < WORKERS; number += 1)
		await site.addWorkerOn(site.addMachine(`m-${number}`, 'desk'))
	for (let number = 1; number <= DAEMONS; number += 1) site.startDaemon(number)
	await site.waitUntilReady()

	const ownEnds = new Map()
	site.onExit = (number) => {
		if (site.closing) return
		ownEnds.set(number, (ownEnds.get(number) ?? 0) + 1)
		setTimeout(() => {
			if (!site.closing) site.startDaemon(number)
		}, RESTART_DELAY)
	}
	const accepted = await submitJobs(site, isTrouble ? OCCURRENCES : USUAL_OCCURRENCES)
	await site.waitFor('daemons that end by themselves', () => isBroken(ownEnds), OBSERVED_TIME)
	const probe = await runProbe(site)
	const ends = [...ownEnds].map(([number, count]) => `front-a-${number} ${count}`).join(', ')
	const verdict = `${accepted.length} jobs accepted; own ends of processes: ${ends || 'none'}; a job of one task that is due now: ${probe}`
	return { broken: isBroken(ownEnds), verdict }
})

/** The rule: on two machines at least, processes end by themselves three times. */
function isBroken(ownEnds) {
	const machines = [...ownEnds.values()].filter((count) => count >= MAX_OWN_ENDS)
	return machines.length >= MAX_MACHINES
}

async function submitJobs(site, times) {
	const accepted = []
	const startAt = Date.now() + HOUR
	for (let number = 0; number < JOBS; number += 1) {
		const id = (0xb0_0000 + number).toString(16).padStart(16, '0')
		const status = await site.submit(`/q/${id}`, {
			spec: '500 meter reading',
			times,
			start_at_ms: startAt,
			interval_ms: HOUR,
			steps: [{ count: TASKS, cpu: TASK_CPU, mem_mb: 256, estimate_ms: 500 }],
		})
		if (status === 200) accepted.push(id)
		// Once no daemon answers, there is no use in more.
		else break
		await delay(JOB_INTERVAL)
	}
	return accepted
}

/** Hands in a usual job, and returns what is shown of it after `finish_s`. */
async function runProbe(site) {
	const steps = [{ count: 1, cpu: TASK_CPU, mem_mb: 256, estimate_ms: 500 }]
	const status = await site.submit(PROBE, { spec: '500 quote', steps })
	let state
	const isDone = async () => {
		for (const number of site.daemons.keys()) state = await site.getState(PROBE, number)
		return state === 'completed'
	}
	await site.waitFor('probe completed', isDone, FINISH_TIME)
	return `answered ${status}, then ${state}`
}
