import type { ListedInstance } from './ListedInstance.js'

interface Version {
	/** When this version took effect, in milliseconds since 1970. */
	readonly at: number
	readonly rows: ReadonlyMap<string, ListedInstance>
}

/**
 * The platform's instance list. It keeps all versions, so that reads can lag behind.
 *
 * @internal
 */
export class InstanceList {
	private versions: Version[] = [{ at: 0, rows: new Map() }]

	put(instances: readonly ListedInstance[], now: number): void {
		this.addVersion(now, (rows) => {
			for (const row of instances) rows.set(row.name, row)
		})
	}

	remove(name: string, now: number): void {
		this.addVersion(now, (rows) => {
			rows.delete(name)
		})
	}

	/** Returns the list as it was at a time, in milliseconds since 1970. */
	getRows(at: number): ListedInstance[] {
		return [...(this.versions[this.getVersion(at)]?.rows.values() ?? [])]
	}

	/** Returns the index of the version that was current at a time. */
	getVersion(at: number): number {
		return this.versions.findLastIndex((version) => version.at <= at)
	}

	private addVersion(now: number, edit: (rows: Map<string, ListedInstance>) => void): void {
		const rows = new Map(this.versions.at(-1)?.rows)
		edit(rows)
		this.versions.push({ at: now, rows })
	}
}
