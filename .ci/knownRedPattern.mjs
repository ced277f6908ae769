// Prints a pattern that matches the name of every test but those listed in the file.
import { readFileSync } from 'node:fs'

const PREFIX = 'test: '
const names = readFileSync(process.argv[2], 'utf8')
	.split('\n')
	.filter((line) => line.startsWith(PREFIX))
	.map((line) => line.slice(PREFIX.length).replaceAll(/[.*+?^${}()|[\]\\]/g, '\\$&'))
console.log(names.length === 0 ? '.*' : `^(?!.*(${names.join('|')})$).*$`)
