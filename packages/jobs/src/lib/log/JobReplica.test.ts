import { expect, it } from 'vitest'
import { VirtualTimerService } from '@mastichead/core'
import { SilentEventLog } from '../logs/SilentEventLog.js'
import { JobReplica } from './JobReplica.js'

// Guards against a later form of the progress records that is taken for a job without progress.
it('keeps the latest readable progress of a job', () => {
	const replica = new JobReplica(new SilentEventLog(), new VirtualTimerService())
	const value = '{"format":2,"state":"running","begun":true,"done":"0-2"}'
	replica.applyProgress({ key: '1', value, offset: 0 })
	const before = replica.get('1')?.snapshot
	expect(before?.tasks.map((task) => task.phase)).toEqual(['done', 'done', 'done'])
	replica.applyProgress({ key: '1', value: value.replace('2', '3'), offset: 1 })
	expect(replica.get('1')?.snapshot).toBe(before)
})
