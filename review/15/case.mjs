import { createHash } from 'node:crypto'
import { createTenant, runCase } from '../lib-3/deployment.mjs'
import { pause, waitFor } from '../lib-3/http.mjs'

const RECORD = new URL('record.txt', import.meta.url).pathname
/** What the tenant may have running, in thousandths of a core, and the burst that RULES.md allows. */
const CAP = 8_000
const BURST = 0.1
const TASK_CPU = 1_000
const WORK = 60_000
const OUTAGE = 4_500
const DAEMONS = 3

/** Returns the partition of the store in which the daemons keep a job's submission. */
function getPart(id) {
	return createHash('sha256').update(id).digest().readUInt32BE(0) % 6
}

/** Returns the first id whose submission is in a partition. */
function findId(part, prefix) {
	for (let number = 0; ; number += 1) {
		const id = prefix + number.toString(16).padStart(12, '0')
		if (getPart(id) === part) return id
	}
}

const options = { tenants: [createTenant('installers', 'key-1', CAP)] }

await runCase(RECORD, options, async (deployment, isTroubled) => {
	const { store, workers } = deployment
	await deployment.start({ daemons: DAEMONS, workers: 6 })
	const names = [...deployment.daemons.keys()]
	const getRunning = () => workers.reduce((sum, worker) => sum + worker.usedCpu, 0)
	let highest = 0
	const checks = setInterval(() => (highest = Math.max(highest, getRunning())), 5)
	const steps = [{ count: CAP / TASK_CPU, cpu: TASK_CPU, mem_mb: 64, estimate_ms: WORK }]
	// The first job takes all that its tenant may use; the second one has to wait for it.
	const [first, second] = [findId(0, 'aaaa'), findId(1, 'bbbb')]
	await deployment.submit(names[0], first, { spec: 'first', steps }, { works: WORK })
	if (!(await waitFor(() => getRunning() === CAP, 10_000))) throw new Error('first job not started')
	await deployment.submit(names[1], second, { spec: 'second', steps }, { works: WORK })
	await pause(5_000)
	if (highest > CAP) throw new Error('cap exceeded before the disruption')
	if (isTroubled) {
		deployment.note('the partition keyed.intake/0 of the store is down; all daemons are killed')
		store.down.add('keyed.intake/0')
	} else deployment.note('all daemons are killed')
	await Promise.all(names.map((name) => deployment.killDaemon(name)))
	const restarted = Promise.all(names.map((name) => deployment.startDaemon(name)))
	await pause(OUTAGE)
	store.down.clear()
	deployment.note('the store is up')
	await restarted
	await pause(5_000)
	clearInterval(checks)
	const limit = CAP * (1 + BURST) + TASK_CPU
	deployment.note(
		`the tenant had at most ${highest} running; its cap is ${CAP}, the limit ${limit}`
	)
	return highest > limit ? [`QUOTA: ${highest} running, ${limit} allowed`] : []
})
