import type { RequestIdParts } from './RequestIdParts.js'

const REQUEST_ID_PATTERN = /^(0|[1-9a-z][0-9a-z]{0,9})-([0-9a-f]{16,64})-([\w.:-]{1,128})$/

/**
 * Parses a request id. Returns undefined if the text is not one.
 *
 * @public
 */
export function parseRequestId(text: string): RequestIdParts | undefined {
	const match = REQUEST_ID_PATTERN.exec(text)
	if (!match) return undefined
	const [, sequence, random, issuer] = match
	if (sequence === undefined || random === undefined || issuer === undefined) return undefined
	return { issuer, random, sequence: Number.parseInt(sequence, 36) }
}
