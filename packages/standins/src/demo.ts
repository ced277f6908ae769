import { fileURLToPath } from 'node:url'
import { runDemo } from './lib/demo/runDemo.js'

const examples = fileURLToPath(new URL('../../../examples', import.meta.url))
const hasSucceeded = await runDemo(examples, (line) => {
	console.log(line)
})
process.exitCode = hasSucceeded ? 0 : 1
