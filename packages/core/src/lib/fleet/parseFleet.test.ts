import { assert, expect, test } from 'vitest'
import { applyFleetPatch } from './applyFleetPatch.js'
import { createFleetPatch } from './createFleetPatch.js'
import { formatFleetDiff } from './formatFleetDiff.js'
import { formatFleetProblem } from './formatFleetProblem.js'
import { parseFleet } from './parseFleet.js'

const FILE = `
name: desk
availabilityZones: [north, south]
pools:
  - name: quotes
    minimumAvailable: 1
  - { name: spares, spare: true }
teams:
  - { name: installers, limit: 12 }
queues:
  - { name: drafts, pool: quotes, teams: [installers] }
backendServers:
  - { name: q1, availabilityZone: north, rack: r1, address: "10.0.0.1:8080", pool: quotes }
`

function getProblems(text: string): readonly string[] {
	const parse = parseFleet(text)
	return parse.type === 'invalid' ? parse.problems.map(formatFleetProblem) : []
}

test('fills in the documented defaults', () => {
	const parse = parseFleet(FILE)
	assert(parse.type === 'valid')
	expect(parse.fleet.backendServers[0]).toMatchObject({ slots: 8, connections: 64 })
	expect(parse.fleet.queues[0]).toMatchObject({ urgency: 'ordinary', timeoutMilliseconds: 30_000 })
	expect(parse.fleet.teams[0]).toEqual({ name: 'installers', limit: 12, share: 1 })
})

test.each([
	['limit: 12', 'limit: -1', 'teams[0].limit: '],
	['pool: quotes, teams', 'pool: quote, teams', 'queues[0].pool: no such pool quote'],
	['teams: [installers]', 'teams: [other]', 'queues[0].teams[0]: no such team other'],
	['pool: quotes }', 'pool: quotes, slot: 9 }', 'backendServers[0].slot: unknown key'],
	['availabilityZone: north', 'availabilityZone: west', 'backendServers[0].availabilityZone: no'],
	['10.0.0.1:8080', '10.0.0.1:80800', 'backendServers[0].address: not an address'],
	['minimumAvailable: 1', 'minimumAvailable: 2', 'pools[0].minimumAvailable: 2 can never hold'],
	['name: spares', 'name: quotes', 'pools[1].name: duplicate quotes'],
	['[north, south]', '[north, north]', 'availabilityZones[1]: duplicate north'],
	['name: desk', 'name: desk\nname: desk', 'Map keys must be unique'],
])('reports the path of a problem: %s -> %s', (from, to, problem) => {
	const problems = getProblems(FILE.replace(from, to))
	expect(problems.some((line) => line.startsWith(problem))).toBe(true)
})

test('a patch turns one document into the other and can be formatted as a diff', () => {
	const from = parseFleet(FILE)
	const to = parseFleet(FILE.replace('limit: 12', 'limit: 9').replace('name: q1', 'name: q2'))
	assert(from.type === 'valid' && to.type === 'valid')
	const patch = createFleetPatch(from.fleet, to.fleet)
	expect(applyFleetPatch(from.fleet, patch)).toEqual(to.fleet)
	const [team, removed, added] = formatFleetDiff(from.fleet, to.fleet)
	expect(team).toBe('~ team installers (limit: 12 -> 9)')
	expect(removed).toBe('- backend server q1')
	expect(added).toMatch(/^\+ backend server q2 \(availabilityZone: north, rack: r1, /)
})
