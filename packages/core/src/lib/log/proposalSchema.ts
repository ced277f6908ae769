import { z } from 'zod'

const id = z.string().min(1).max(200)
const names = z.array(id)
const offset = z.int().min(-1)
const hash = z.string().regex(/^[0-9a-f]{64}$/)
const tablePatch = z.looseObject({ put: z.array(z.looseObject({ name: id })), remove: names })

const fleetPatch = z.looseObject({
	name: id,
	availabilityZones: names,
	pools: tablePatch,
	queues: tablePatch,
	teams: tablePatch,
	backendServers: tablePatch,
})

const waveAction = z.discriminatedUnion('type', [
	z.looseObject({
		type: z.literal('create'),
		backendServers: names,
		parallelism: z.int().min(1),
		failureLimit: z.int().min(0),
	}),
	z.looseObject({ type: z.literal('pause'), reason: z.string() }),
	z.looseObject({ type: z.literal('resume') }),
	z.looseObject({ type: z.literal('abort') }),
])

/**
 * Schema of every kind of proposal, so that the fold gets only proposals that it can decide on.
 * Unknown keys are kept, since a newer daemon may write them. The handlers check ranges and
 * references.
 *
 * @internal
 */
export const proposalSchema = z.discriminatedUnion('kind', [
	z.looseObject({
		kind: z.literal('apply'),
		id,
		base: z.int().min(0),
		patch: fleetPatch,
		operator: z.string(),
	}),
	z.looseObject({
		kind: z.literal('issue-key'),
		id,
		key: id,
		team: id,
		hash,
		operator: z.string(),
	}),
	z.looseObject({ kind: z.literal('withdraw-key'), id, key: id, operator: z.string() }),
	z.looseObject({
		kind: z.literal('join'),
		id,
		instance: id,
		availabilityZone: id,
		peerAddress: z.string(),
	}),
	z.looseObject({ kind: z.literal('heartbeat'), id, instance: id }),
	z.looseObject({ kind: z.literal('leave'), id, instance: id }),
	z.looseObject({
		kind: z.literal('allowance'),
		id,
		instance: id,
		sequence: z.int(),
		changes: z.array(z.looseObject({ team: id, delta: z.int() })),
	}),
	z.looseObject({
		kind: z.literal('drain'),
		id,
		backendServer: id,
		draining: z.boolean(),
		override: z.boolean().optional(),
		operator: z.string(),
	}),
	z.looseObject({
		kind: z.literal('move'),
		id,
		backendServer: id,
		from: id,
		to: id,
		step: z.enum(['drain', 'reassign', 'finish', 'abort']),
		since: offset.optional(),
		proposer: z.string(),
	}),
	z.looseObject({
		kind: z.literal('wave'),
		id,
		wave: id,
		action: waveAction,
		operator: z.string(),
	}),
	z.looseObject({
		kind: z.literal('wave-step'),
		id,
		wave: id,
		backendServer: id,
		step: z.enum(['drain', 'maintain', 'finish', 'fail', 'abort']),
		since: offset.optional(),
		proposer: z.string(),
	}),
	z.looseObject({ kind: z.literal('health'), id, instance: id, failed: names, healthy: names }),
	z.looseObject({
		kind: z.literal('snapshot'),
		id,
		through: offset,
		hash,
		part: z.int().min(0),
		parts: z.int().min(1),
		body: z.string(),
	}),
	z.looseObject({ kind: z.literal('snapshot-mark'), id, instance: id }),
])
