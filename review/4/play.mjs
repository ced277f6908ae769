import { setTimeout as delay } from 'node:timers/promises'
import { runCase } from '../lib/runCase.mjs'

const DAEMONS = 3
const SERVERS = 6
const TASK_MILLISECONDS = 1_000
const JOB = '00000000000000a1'
/** How long the store does not answer one machine. */
const OUTAGE_MILLISECONDS = 2_000
/** Time after which the store carries out a call that it has not answered. */
const LATE_MILLISECONDS = 6_000
const CANCEL_MILLISECONDS = 3_000
const OBSERVATION_MILLISECONDS = 12_000

await runCase(import.meta.dirname, async ({ deployment, recorder, isTroubled }) => {
	await deployment.startPlatform()
	await deployment.startServers(SERVERS, TASK_MILLISECONDS)
	await deployment.startDaemons(DAEMONS)
	const owner = await deployment.findOwner()
	const [first, second] = deployment.daemons.filter((daemon) => daemon !== owner)
	if (isTroubled) {
		recorder.write(`the store does not answer ${first.name} for ${OUTAGE_MILLISECONDS} ms`)
		first.gate.lateBy = LATE_MILLISECONDS
		first.gate.isSilent = true
		setTimeout(() => {
			first.gate.isSilent = false
			recorder.write(`the store answers ${first.name} again`)
		}, OUTAGE_MILLISECONDS)
	}
	const body = JSON.stringify({
		spec: 'quote 17',
		steps: [{ count: 1, cpu: 1_000, mem_mb: 500, estimate_ms: 1_000 }],
	})
	const submitted = await deployment.call(first, 'POST', `/quotes/${JOB}`, body)
	if (isTroubled && submitted.status === 200) throw new Error('the submission was answered')
	const cancelled = await deployment.call(second, 'DELETE', `/quotes/${JOB}`)
	const cancelledAt = Date.now()
	await delay(OBSERVATION_MILLISECONDS)
	await deployment.call(second, 'GET', `/quotes/${JOB}`)
	if (cancelled.status !== 410 && cancelled.status !== 200)
		throw new Error('the cancel was not acknowledged')
	const lateStarts = deployment.servers
		.flatMap(({ events }) => events)
		.filter(({ kind, at }) => kind === 'started' && at > cancelledAt + CANCEL_MILLISECONDS)
	return lateStarts.map(
		({ task, attempt, at }) =>
			`UNASKED: ${task}/${attempt} was started ${at - cancelledAt} ms after the cancelling of its job was acknowledged with ${cancelled.status}`
	)
})
