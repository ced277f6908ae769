import { mkdirSync, writeFileSync } from 'node:fs'
import { benches } from './benches.js'
import { formatTable } from './formatTable.js'

const SEED = 20_261_203
const RESULTS_DIRECTORY = new URL('../results/', import.meta.url)

const requestedNames = process.argv.slice(2)
const unknown = requestedNames.filter((name) => !benches.some((bench) => bench.name === name))
if (unknown.length > 0) {
	const names = benches.map(({ name }) => name).join(', ')
	console.error(`unknown bench ${unknown.join(', ')}; available benches: ${names}`)
	process.exit(2)
}
mkdirSync(RESULTS_DIRECTORY, { recursive: true })
for (const { name, run } of benches) {
	if (requestedNames.length > 0 && !requestedNames.includes(name)) continue
	const startedAt = performance.now()
	const rows = await run({ seed: SEED })
	const seconds = Math.round((performance.now() - startedAt) / 100) / 10
	writeFileSync(
		new URL(`${name}.json`, RESULTS_DIRECTORY),
		`${JSON.stringify({ seed: SEED, rows }, null, '\t')}\n`
	)
	console.log(`${name} (seed ${SEED}, ${seconds} s)\n\n${formatTable(rows)}\n`)
}
