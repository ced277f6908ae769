import { VirtualTimerService, type AttemptOutcome, type RequestId } from '@mastichead/core'
import fc from 'fast-check'
import { setImmediate as waitForEventLoop } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { createTestFleetState } from '../testing/createTestFleetState.js'
import { FaultyClaimTransport } from '../testing/FaultyClaimTransport.js'
import { SimulatedDaemon } from '../testing/SimulatedDaemon.js'
import type { RecordedResponse } from '../testing/RecordedResponse.js'
import { ScriptedBackendManager } from '../testing/ScriptedBackendManager.js'

const HISTORIES = 10_000
const SEED = 20_261_203
const DAEMONS = 3
const STEP_MILLISECONDS = 25

const state = createTestFleetState({
	addresses: ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'],
	runMilliseconds: 400,
	timeoutMilliseconds: 400,
})
const queue = getQueue()

/** Outcomes after which the request has not run. */
const notRunOutcomes: AttemptOutcome['type'][] = [
	'connection-refused',
	'connection-timeout',
	'refused',
	'reset-before-write',
]
/** Outcomes after which the request may have run, or may still run a little later. */
const mayHaveRunOutcomes: AttemptOutcome['type'][] = [
	'reset-after-write',
	'head-timeout',
	'malformed-response',
	'truncated-response',
	'body-timeout',
]

const answered = { outcome: { type: 'answered', status: 200 } as const, after: 10, runAfter: 1 }

const script = fc.oneof(
	{ weight: 3, arbitrary: fc.constant(answered) },
	{
		weight: 3,
		arbitrary: fc.record({
			outcome: fc.constantFrom(...notRunOutcomes).map((type) => ({ type }) as AttemptOutcome),
			after: fc.constantFrom(1, 60),
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			outcome: fc.constantFrom(...mayHaveRunOutcomes).map((type) => ({ type }) as AttemptOutcome),
			after: fc.constantFrom(5, 300),
			runAfter: fc.constantFrom(undefined, 1, 200),
		}),
	}
)

const fault = fc.record({
	isLost: fc.nat(5).map((n) => n === 0),
	isAnswerLost: fc.nat(5).map((n) => n === 0),
	repeatAfter: fc.constantFrom(undefined, undefined, undefined, 150, 900),
})

const step = fc.record({
	kind: fc.constantFrom('submit', 'submit', 'submit', 'submit', 'kill', 'hang-up'),
	daemon: fc.nat(DAEMONS - 1),
	/** Index of the issued request id to submit; 2 submits without an id. */
	id: fc.nat(2),
	idempotent: fc.nat(4).map((n) => n === 0),
	wait: fc.constantFrom(0, 25, 250, 1000),
})

const history = fc.record({
	steps: fc.array(step, { minLength: 3, maxLength: 10 }),
	scripts: fc.array(script, { minLength: 4, maxLength: 12 }),
	faults: fc.array(fault, { minLength: 4, maxLength: 12 }),
})

type History = typeof history extends fc.Arbitrary<infer Value> ? Value : never

interface Draws<Value> {
	readonly values: readonly Value[]
	nextIndex: number
}

function draw<Value>(draws: Draws<Value>): Value {
	const value = draws.values[draws.nextIndex++ % draws.values.length]
	if (value === undefined) throw new Error('no values to draw from')
	return value
}

const totals = { submissions: 0, answers: 0, notRun: 0, mayHaveRun: 0, ran: 0, runs: 0, kills: 0 }

async function runHistory({ steps, scripts, faults }: History) {
	const timers = new VirtualTimerService()
	const scriptDraws = { values: scripts, nextIndex: 0 }
	const faultDraws = { values: faults, nextIndex: 0 }
	const runs = new Map<string, number>()
	const problems: string[] = []
	const daemons: SimulatedDaemon[] = []
	let createdCount = 0

	/** A killed daemon is replaced at its address, so that calls reach the new incarnation. */
	const getTarget = (issuer: string) => daemons[Number(issuer.split('.')[0])]?.requestIds
	const createDaemon = (index: number) => {
		const backends = new ScriptedBackendManager({
			timers,
			nextScript: () => draw(scriptDraws),
			onRun: (id) => runs.set(id, (runs.get(id) ?? 0) + 1),
		})
		const transport = new FaultyClaimTransport({
			timers,
			getTarget,
			nextFault: () => draw(faultDraws),
		})
		const instance = `${index}.${createdCount++}`
		const random = () => (createdCount++ % 7) / 7
		return new SimulatedDaemon({ timers, instance, state, transport, backends, random })
	}
	const advance = async (time: number) => {
		for (let passed = 0; passed < time; passed += STEP_MILLISECONDS) {
			timers.advance(STEP_MILLISECONDS)
			await waitForEventLoop()
		}
	}

	for (let index = 0; index < DAEMONS; index++) daemons.push(createDaemon(index))
	const ids: (RequestId | undefined)[] = [daemons[0], daemons[1]].map((daemon) =>
		daemon?.requestIds.issue()
	)
	const responses: Promise<RecordedResponse>[] = []
	for (const { kind, daemon: index, id, idempotent, wait } of steps) {
		const daemon = daemons[index]
		if (kind === 'submit' && daemon) {
			totals.submissions++
			const requestId = idempotent ? `idempotent-${createdCount++}` : (ids[id] ?? '')
			const submission = { requestId, idempotent, queue }
			responses.push(
				daemon.submit(submission, (answeredId, verdict) => {
					const count = runs.get(answeredId) ?? 0
					if (!countVerdict(verdict, count))
						problems.push(`${answeredId}: ${verdict}, ${count} runs`)
				})
			)
		}
		if (kind === 'kill' && daemon) {
			totals.kills++
			daemon.kill()
			daemons[index] = createDaemon(index)
		}
		if (kind === 'hang-up')
			void responses.at(-1)?.then((response) => {
				response.destroy()
			})
		await waitForEventLoop()
		await advance(wait)
	}
	await advance(3000)
	for (const [id, count] of runs) {
		totals.runs += count
		if (count > 1 && !id.startsWith('idempotent')) problems.push(`${id}: ${count} runs`)
	}
	expect(problems).toEqual([])
	for (const daemon of daemons) {
		expect(daemon.requests.size).toBe(0)
		expect(daemon.requestIds.claimCount).toBe(0)
		expect(daemon.allowances.unitsInUseCount).toBe(0)
		daemon.kill()
	}
}

function getQueue() {
	const found = state.queues.get('quotes')
	if (!found) throw new Error('the test fleet has no queue named quotes')
	return found
}

/** Counts a verdict and returns whether it agrees with the number of runs. */
function countVerdict(verdict: string, runs: number): boolean {
	totals.answers++
	switch (verdict) {
		case 'not-run':
			totals.notRun++
			return runs === 0
		case 'ran':
			totals.ran++
			return runs > 0
		default:
			totals.mayHaveRun++
			return verdict === 'may-have-run'
	}
}

test(
	'verdicts agree with the runs that the backend servers recorded',
	{ timeout: 300_000 },
	async () => {
		await fc.assert(fc.asyncProperty(history, runHistory), { seed: SEED, numRuns: HISTORIES })
		console.info(`${HISTORIES} histories: ${JSON.stringify(totals)}`)
		expect(Math.min(totals.notRun, totals.mayHaveRun, totals.ran, totals.kills)).toBeGreaterThan(
			1000
		)
	}
)
