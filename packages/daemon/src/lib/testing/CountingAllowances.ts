import { AllowanceSource, type TeamId } from '@mastichead/core'

/**
 * Allowances of a test: any team may start, and what is out is counted.
 *
 * @internal
 */
export class CountingAllowances extends AllowanceSource<{ readonly team: TeamId }> {
	private readonly out = new Set<{ readonly team: TeamId }>()

	/** Units that are out. */
	get count(): number {
		return this.out.size
	}

	override tryAcquire(team: TeamId): { readonly team: TeamId } {
		const unit = { team }
		this.out.add(unit)
		return unit
	}

	override release(unit: { readonly team: TeamId }): void {
		if (!this.out.delete(unit)) throw new Error('a unit is given back once')
	}
}
