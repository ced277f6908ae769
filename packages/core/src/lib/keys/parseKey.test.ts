import { expect, test } from 'vitest'
import { createKey } from './createKey.js'
import { hashKeySecret } from './hashKeySecret.js'
import { isKeySecret } from './isKeySecret.js'
import { parseKey } from './parseKey.js'

test('a made key is read back, and only its secret has its hash', () => {
	const key = createKey()
	const hash = hashKeySecret(key.secret)
	expect(parseKey(key.text)).toEqual(key)
	expect(isKeySecret(key.secret, hash)).toBe(true)
	expect(isKeySecret(createKey().secret, hash)).toBe(false)
	expect(isKeySecret(key.secret, undefined)).toBe(false)
	expect(isKeySecret(key.secret, '')).toBe(false)
})

test.each(['', 'mh_', 'mh_0123456789abcdef_short', `xx${createKey().text}`])(
	'%s is not a key',
	(text) => {
		expect(parseKey(text)).toBeUndefined()
	}
)
