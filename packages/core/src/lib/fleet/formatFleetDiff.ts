import { isDeepStrictEqual } from 'node:util'
import { createFleetPatch } from './createFleetPatch.js'
import type { Fleet } from './Fleet.js'
import type { TablePatch } from './TablePatch.js'

function formatValue(value: unknown): string {
	if (value === undefined) return 'none'
	return typeof value === 'string' ? value : JSON.stringify(value)
}

function formatChanges(before: object, after: object): string {
	const fieldsBefore = new Map<string, unknown>(Object.entries(before))
	const fieldsAfter = new Map<string, unknown>(Object.entries(after))
	const changes: string[] = []
	for (const key of new Set([...fieldsBefore.keys(), ...fieldsAfter.keys()])) {
		const [from, to] = [fieldsBefore.get(key), fieldsAfter.get(key)]
		if (isDeepStrictEqual(from, to)) continue
		changes.push(`${key}: ${formatValue(from)} -> ${formatValue(to)}`)
	}
	return changes.join(', ')
}

function formatRow(row: object): string {
	return Object.entries(row)
		.filter(([key, value]) => key !== 'name' && value !== undefined)
		.map(([key, value]) => `${key}: ${formatValue(value)}`)
		.join(', ')
}

function formatTable<Row extends { readonly name: string }>(
	label: string,
	from: readonly Row[],
	patch: TablePatch<Row>
): string[] {
	const before = new Map<string, Row>(from.map((row) => [row.name, row]))
	const lines = patch.remove.map((name) => `- ${label} ${name}`)
	for (const row of patch.put) {
		const previous = before.get(row.name)
		if (previous) lines.push(`~ ${label} ${row.name} (${formatChanges(previous, row)})`)
		else lines.push(`+ ${label} ${row.name} (${formatRow(row)})`)
	}
	return lines
}

/**
 * Formats the changes between two documents, one line each: `+` added, `-` removed, `~` changed.
 *
 * @returns no lines if the documents are equal up to the order of their rows
 *
 * @public
 */
export function formatFleetDiff(from: Fleet, to: Fleet): readonly string[] {
	const patch = createFleetPatch(from, to)
	const lines: string[] = []
	if (from.name !== to.name) lines.push(`~ name (${formatValue(from.name)} -> ${to.name})`)
	if (!isDeepStrictEqual(from.availabilityZones, to.availabilityZones)) {
		const [before, after] = [from.availabilityZones.join(' '), to.availabilityZones.join(' ')]
		lines.push(`~ availabilityZones (${before} -> ${after})`)
	}
	lines.push(...formatTable('pool', from.pools, patch.pools))
	lines.push(...formatTable('queue', from.queues, patch.queues))
	lines.push(...formatTable('team', from.teams, patch.teams))
	lines.push(...formatTable('backend server', from.backendServers, patch.backendServers))
	return lines
}
