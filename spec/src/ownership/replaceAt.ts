/** Gives a copy of a list with another value at one place. */
export function replaceAt<Value>(list: readonly Value[], index: number, value: Value): Value[] {
	return list.map((known, at) => (at === index ? value : known))
}
