/** Gives a copy of a list with another value at one place. */
export function replaceAt<Value>(list: readonly Value[], place: number, value: Value): Value[] {
	return list.map((known, at) => (at === place ? value : known))
}
