import { expect, it } from 'vitest'
import { selectNewEnds } from './selectNewEnds.js'

const isUnread = (task: string): boolean => task.startsWith('unread')

it('selects every new end in order', () => {
	const ended = [createEnd(3, 'c'), createEnd(1, 'a'), createEnd(2, 'b')]
	const { ends, lastProcessedEnd } = selectNewEnds(ended, 1, isUnread)
	expect(ends.map(({ task }) => task)).toEqual(['b', 'c'])
	expect(lastProcessedEnd).toBe(3)
})

it('holds back the end of a job that has not been read yet and selects later ends', () => {
	const ended = [createEnd(1, 'a'), createEnd(2, 'unread'), createEnd(3, 'c')]
	const { ends, lastProcessedEnd } = selectNewEnds(ended, 0, isUnread)
	expect(ends.map(({ task }) => task)).toEqual(['a', 'c'])
	expect(lastProcessedEnd).toBe(1)
})

it('acknowledges no further end if none is new', () => {
	expect(selectNewEnds([createEnd(1, 'a')], 1, isUnread)).toEqual({ ends: [], lastProcessedEnd: 1 })
})

function createEnd(number: number, task: string) {
	return { number, task, attempt: 1, ending: 'done' as const, checkpoint: '' }
}
