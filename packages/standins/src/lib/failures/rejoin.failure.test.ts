import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { createFleetText } from '../processes/createFleetText.js'
import { Deployment } from '../processes/Deployment.js'
import { runCommand } from '../processes/runCommand.js'
import { QuoteCaller } from './QuoteCaller.js'

const BASE_PORT = 17_100
const WAIT_TIMEOUT_MILLISECONDS = 30_000
const THREE_HOURS_MILLISECONDS = 3 * 3_600_000

const directory = mkdtempSync(join(tmpdir(), 'mastichead-rejoin-'))
const fleetFile = join(directory, 'fleet.yaml')
let deployment: Deployment
let caller: QuoteCaller

async function setFaults(faults: object): Promise<void> {
	const url = `${deployment.platformUrl}/faults`
	await (await request(url, { method: 'PUT', body: JSON.stringify(faults) })).body.dump()
}

async function waitForAnswers(): Promise<void> {
	const end = Date.now() + WAIT_TIMEOUT_MILLISECONDS
	for (const url of deployment.callerUrls) {
		for (;;) {
			const status = await caller.post(url, 'quote').then(
				(answer) => answer.status,
				() => 0
			)
			if (status === 200) break
			if (Date.now() > end) throw new Error(`${url} still answers with status ${status}`)
			await delay(50)
		}
	}
}

beforeAll(async () => {
	writeFileSync(fleetFile, createFleetText({ firstPort: BASE_PORT + 1, servers: 2 }))
	deployment = new Deployment({ fleetFile, basePort: BASE_PORT, daemons: 2, runMilliseconds: 10 })
	await deployment.start()
	const applied = await runCommand(deployment, ['apply', fleetFile])
	expect(applied.code, applied.output).toBe(0)
	const issued = await runCommand(deployment, ['keys', 'issue', 'desk'])
	caller = new QuoteCaller(/mh_[0-9a-f]{16}_[A-Za-z0-9_-]+/.exec(issued.output)?.[0] ?? '')
	await waitForAnswers()
}, 60_000)

afterAll(async () => {
	await caller.close()
	expect(await deployment.stop()).toEqual([])
	rmSync(directory, { recursive: true })
}, 60_000)

test('entry instances that the fold dropped start again under new names and serve', async () => {
	await setFaults({ clockAheadMilliseconds: THREE_HOURS_MILLISECONDS })
	const end = Date.now() + WAIT_TIMEOUT_MILLISECONDS
	const hasRejoined = (name: string): boolean =>
		deployment.processes.getLines(name).some((line) => line.includes('event=member-rejoining'))
	while (!deployment.instances.every(({ name }) => hasRejoined(name))) {
		expect(Date.now()).toBeLessThan(end)
		await delay(50)
	}
	await waitForAnswers()
})

test('an entry instance that cannot reach the platform yet exits with code 0 on SIGTERM', async () => {
	const name = deployment.instances[1]?.name ?? ''
	expect(await deployment.processes.stop(name)).toBe(0)
	await setFaults({ outage: true })
	await deployment.startDaemon(name, 'event=log-read-failed')
	expect(await deployment.processes.stop(name)).toBe(0)
	await setFaults({ outage: false })
	await deployment.startDaemon(name)
	await waitForAnswers()
})
