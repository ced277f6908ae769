import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { Deployment } from '../processes/Deployment.js'
import { runCommand } from '../processes/runCommand.js'

const SINGLE_REQUESTS = 4
const BURST_REQUESTS = 300
/** Time for the fleet and the key to reach all daemons. */
const APPLY_SETTLE_MILLISECONDS = 500

interface DemoResponse {
	readonly status: number
	readonly headers: Record<string, string | string[] | undefined>
	readonly text: string
}

/**
 * Demonstrates what operators and callers do. Runs the Padania deployment in full and the Bretagne
 * deployment without backend servers, each program in a process of its own.
 *
 * @param directory - directory of the example fleet files
 * @param print - receives each line of output
 * @returns whether every step and every shutdown succeeded
 * @internal
 */
export async function runDemo(directory: string, print: (line: string) => void): Promise<boolean> {
	const padania = new Deployment({
		fleetFile: `${directory}/padania.yaml`,
		basePort: 21000,
		daemons: 7,
	})
	const bretagne = new Deployment({
		fleetFile: `${directory}/bretagne.yaml`,
		basePort: 22000,
		daemons: 3,
		pools: [],
	})
	let hasSucceeded = false
	try {
		print('Starting both deployments ...')
		await Promise.all([padania.start(), bretagne.start()])
		hasSucceeded =
			(await runAndPrint(print, bretagne, ['apply', `${directory}/bretagne.yaml`])) &&
			(await demonstratePadania(padania, directory, print))
	} finally {
		print('Stopping everything by graceful shutdown ...')
		const failedProcesses = [...(await padania.stop()), ...(await bretagne.stop())]
		print(
			failedProcesses.length === 0
				? 'Every process exited 0.'
				: `Failed: ${failedProcesses.join(' ')}`
		)
		hasSucceeded &&= failedProcesses.length === 0
	}
	return hasSucceeded
}

async function demonstratePadania(
	padania: Deployment,
	directory: string,
	print: (line: string) => void
): Promise<boolean> {
	const file = `${directory}/padania.yaml`
	if (!(await runAndPrint(print, padania, ['validate', file]))) return false
	if (!(await runAndPrint(print, padania, ['apply', file]))) return false
	const issued = await runCommand(padania, [
		...['keys', 'issue', 'connections-desk', '--output', 'json'],
	])
	const key = /mh_[0-9a-f]{16}_[A-Za-z0-9_-]+/.exec(issued.output)?.[0]
	if (key === undefined) {
		print(issued.output)
		return false
	}
	print('$ mastichead keys issue connections-desk   (the key is shown once)')
	await delay(APPLY_SETTLE_MILLISECONDS)
	const haveRequestsSucceeded = await demonstrateRequests(padania, key, print)
	const haveReportsSucceeded =
		(await runAndPrint(print, padania, ['status'])) &&
		(await runAndPrint(print, padania, ['histograms']))
	return haveRequestsSucceeded && haveReportsSucceeded
}

async function runAndPrint(
	print: (line: string) => void,
	deployment: Deployment,
	args: readonly string[]
): Promise<boolean> {
	print(`$ mastichead ${args.join(' ')}`)
	const { code, output } = await runCommand(deployment, args)
	print(output.trimEnd())
	if (code !== 0) print(`exit code ${code}`)
	return code === 0
}

async function demonstrateRequests(
	padania: Deployment,
	key: string,
	print: (line: string) => void
): Promise<boolean> {
	const urls = padania.callerUrls
	for (let index = 0; index < SINGLE_REQUESTS; index++) {
		const url = urls[index % urls.length] ?? ''
		const response = await post(url, key, `building ${index + 1}`)
		const { 'mastichead-verdict': verdict, 'mastichead-backend-server': server } = response.headers
		print(`POST ${url}/v1/queues/feasibility-checks/requests`)
		print(
			`  ${response.status} verdict=${String(verdict)} server=${String(server)} ${response.text}`
		)
	}
	const refused = await post(urls[0] ?? '', 'no-key', 'nobody')
	print(`POST with a wrong key: ${refused.status} ${refused.text}`)
	const burst = await Promise.all(
		Array.from({ length: BURST_REQUESTS }, (_, index) =>
			post(urls[index % urls.length] ?? '', key, `burst ${index}`)
		)
	)
	const verdicts = new Map<string, number>()
	for (const { headers, status } of burst) {
		const name = `${status} ${String(headers['mastichead-verdict'])}`
		verdicts.set(name, (verdicts.get(name) ?? 0) + 1)
	}
	print(`${BURST_REQUESTS} requests at once: ${formatCounts(verdicts)}`)
	return refused.status === 401 && verdicts.get('200 ran') === BURST_REQUESTS
}

function formatCounts(counts: ReadonlyMap<string, number>): string {
	return [...counts].map(([name, count]) => `${count} x ${name}`).join(', ')
}

async function post(url: string, key: string, body: string): Promise<DemoResponse> {
	const answer = await request(`${url}/v1/queues/feasibility-checks/requests`, {
		method: 'POST',
		headers: { authorization: `Bearer ${key}` },
		body,
	})
	return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() }
}
