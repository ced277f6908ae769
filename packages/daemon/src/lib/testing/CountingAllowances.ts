import { AllowanceSource, type TeamId } from '@mastichead/core'

/**
 * An allowance source for tests that always grants a unit and counts the units in use.
 *
 * @internal
 */
export class CountingAllowances extends AllowanceSource<{ readonly team: TeamId }> {
	private readonly unitsInUse = new Set<{ readonly team: TeamId }>()

	/** Number of units in use. */
	get unitsInUseCount(): number {
		return this.unitsInUse.size
	}

	override tryAcquire(team: TeamId): { readonly team: TeamId } {
		const unit = { team }
		this.unitsInUse.add(unit)
		return unit
	}

	override release(unit: { readonly team: TeamId }): void {
		if (!this.unitsInUse.delete(unit)) throw new Error('the unit was already returned')
	}
}
