import { expect, test } from 'vitest'
import { createCallerKey } from './createCallerKey.js'
import { hashKeySecret } from './hashKeySecret.js'
import { isKeySecretValid } from './isKeySecretValid.js'
import { parseCallerKey } from './parseCallerKey.js'

test('a new key can be parsed, and only its own secret matches its hash', () => {
	const key = createCallerKey()
	const hash = hashKeySecret(key.secret)
	expect(parseCallerKey(key.text)).toEqual(key)
	expect(isKeySecretValid(key.secret, hash)).toBe(true)
	expect(isKeySecretValid(createCallerKey().secret, hash)).toBe(false)
	expect(isKeySecretValid(key.secret, undefined)).toBe(false)
	expect(isKeySecretValid(key.secret, '')).toBe(false)
})

test.each(['', 'mh_', 'mh_0123456789abcdef_short', `xx${createCallerKey().text}`])(
	'%s is not a key',
	(text) => {
		expect(parseCallerKey(text)).toBeUndefined()
	}
)
