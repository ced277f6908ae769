// Prints a regular expression for `--testNamePattern` that matches the name of every test except
// those listed in the file. An entry of the file names its test in a line `test: NAME`.
import { readFileSync } from 'node:fs'

const NAME_PREFIX = 'test: '
const excludedNames = readFileSync(process.argv[2], 'utf8')
	.split('\n')
	.filter((line) => line.startsWith(NAME_PREFIX))
	.map((line) => line.slice(NAME_PREFIX.length).replaceAll(/[.*+?^${}()|[\]\\]/g, '\\$&'))
console.log(excludedNames.length === 0 ? '.*' : `^(?!.*(${excludedNames.join('|')})$).*$`)
