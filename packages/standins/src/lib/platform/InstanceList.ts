import type { ListedInstance } from './ListedInstance.js'

interface Version {
	readonly at: number
	readonly rows: ReadonlyMap<string, ListedInstance>
}

/**
 * The platform's list of instances, shown with a lag.
 *
 * @internal
 */
export class InstanceList {
	private versions: Version[] = [{ at: 0, rows: new Map() }]

	put(added: readonly ListedInstance[], now: number): void {
		this.addVersion(now, (rows) => {
			for (const row of added) rows.set(row.name, row)
		})
	}

	remove(name: string, now: number): void {
		this.addVersion(now, (rows) => {
			rows.delete(name)
		})
	}

	/** The list as it was at `at`. */
	getRows(at: number): ListedInstance[] {
		return [...(this.versions[this.getVersion(at)]?.rows.values() ?? [])]
	}

	/** Number of the list's version that is shown at `at`. */
	getVersion(at: number): number {
		return this.versions.findLastIndex((version) => version.at <= at)
	}

	private addVersion(now: number, edit: (rows: Map<string, ListedInstance>) => void): void {
		const rows = new Map(this.versions.at(-1)?.rows)
		edit(rows)
		this.versions.push({ at: now, rows })
	}
}
