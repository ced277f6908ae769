/** Returns a copy of a list with `value` at `index`. */
export function replaceAt<Value>(list: readonly Value[], index: number, value: Value): Value[] {
	return list.map((other, at) => (at === index ? value : other))
}
