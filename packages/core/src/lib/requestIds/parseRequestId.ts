import type { RequestIdParts } from './RequestIdParts.js'

const pattern = /^(0|[1-9a-z][0-9a-z]{0,9})-([0-9a-f]{16,64})-([\w.:-]{1,128})$/

/**
 * Reads a request id. Returns undefined when the text is none.
 *
 * @public
 */
export function parseRequestId(text: string): RequestIdParts | undefined {
	const match = pattern.exec(text)
	if (!match) return undefined
	const [, sequence, random, issuer] = match
	if (sequence === undefined || random === undefined || issuer === undefined) return undefined
	return { issuer, random, sequence: Number.parseInt(sequence, 36) }
}
