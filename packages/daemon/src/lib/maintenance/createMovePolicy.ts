import {
	FixedMovePolicy,
	ForecastMovePolicy,
	GreedyMovePolicy,
	type MovePolicy,
} from '@mastichead/core'
import type { Settings } from '../settings/Settings.js'

/**
 * Creates the move policy selected in the settings.
 *
 * @internal
 */
export function createMovePolicy({ policy, weights, perHour }: Settings['moves']): MovePolicy {
	switch (policy) {
		case 'fixed':
			return new FixedMovePolicy()
		case 'greedy':
			return new GreedyMovePolicy()
		case 'forecast':
			return new ForecastMovePolicy({ weights, movesPerHour: perHour })
	}
}
