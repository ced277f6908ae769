import path from 'node:path'
import { Deployment } from './Deployment.mjs'
import { Recorder } from './Recorder.mjs'

const MAXIMUM_DURATION_MILLISECONDS = 115_000
const HELD = 0
const BROKEN = 1
const NOT_RUN = 2

/**
 * Runs a case and ends the process with its exit code: 1 if the rule was broken, 0 if it held, and 2 if the
 * case could not run.
 *
 * @param folder - folder of the case, for the record
 * @param play - plays the case; resolves to the ways in which the rule was broken, none if it held
 */
export async function runCase(folder, play) {
	const recorder = new Recorder(path.join(folder, 'record.txt'))
	const isTroubled = process.env.TROUBLE !== '0'
	recorder.write(`case ${path.basename(folder)}, ${isTroubled ? 'with' : 'without'} the disruption`)
	const deployment = new Deployment(recorder)
	const finish = async (code, text) => {
		recorder.write(text)
		await deployment.close()
		process.stdout.write(`${text}\n`)
		process.exit(code)
	}
	const timer = setTimeout(
		() => void finish(NOT_RUN, 'not run: out of time'),
		MAXIMUM_DURATION_MILLISECONDS
	)
	timer.unref()
	for (const signal of ['SIGINT', 'SIGTERM'])
		process.on(signal, () => void finish(NOT_RUN, 'not run: stopped'))
	try {
		const violations = await play({ deployment, recorder, isTroubled })
		if (violations.length === 0) await finish(HELD, 'held')
		else await finish(BROKEN, `broken: ${violations.join('; ')}`)
	} catch (error) {
		await finish(NOT_RUN, `not run: ${String(error.stack ?? error)}`)
	}
}
