import { fileURLToPath } from 'node:url'
import { runDemo } from './lib/demo/runDemo.js'

const examples = fileURLToPath(new URL('../../../examples', import.meta.url))
const isGood = await runDemo(examples, (line) => {
	console.log(line)
})
process.exitCode = isGood ? 0 : 1
