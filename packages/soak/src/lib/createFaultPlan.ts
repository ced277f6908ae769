import { createRandom } from './createRandom.js'
import type { PlannedFault } from './PlannedFault.js'
import type { SoakFault } from './SoakFault.js'

const KINDS: readonly SoakFault[] = [
	'kill',
	'terminate',
	'pause',
	'pause',
	'store-silent',
	'store-requests-lost',
	'store-answers-lost',
	'store-delayed',
	'store-reset',
	'store-outage',
	'server-silent',
	'server-requests-lost',
	'server-answers-lost',
	'server-delayed',
	'server-reset',
	'server-restart',
	'server-leaves',
	'key-withdrawal',
]
/** Kinds of a second series, so that the first one of a seed stays as it was. */
const FURTHER_KINDS: readonly SoakFault[] = ['store-refused', 'clock-step']
/** Number that is added to the seed for the second series. */
const FURTHER_SEED = 1_000_000
const MINIMUM_FURTHER_PAUSE = 1_000
const MAXIMUM_FURTHER_PAUSE = 8_000
/** Kinds of a third series, of which two that follow each other lose a server and its owner. */
const LOSS_KINDS: readonly SoakFault[] = ['server-gone', 'kill', 'pause']
const LOSS_SEED = 2_000_000
const MINIMUM_LOSS_PAUSE = 500
const MAXIMUM_LOSS_PAUSE = 8_000
const MINIMUM_PAUSE = 200
const MAXIMUM_PAUSE = 2_500
const MINIMUM_DURATION = 300
/** Longer than a membership, a lease, and what an owner may go on without the store. */
const MAXIMUM_DURATION = 7_000
const MAXIMUM_TARGET = 1_000

/**
 * Creates three series of faults, which may overlap. Times are in milliseconds.
 *
 * @param length - time in which faults begin
 * @public
 */
export function createFaultPlan(seed: number, length: number): PlannedFault[] {
	const first = createSeries(seed, length, KINDS, [MINIMUM_PAUSE, MAXIMUM_PAUSE])
	const pauses = [MINIMUM_FURTHER_PAUSE, MAXIMUM_FURTHER_PAUSE] as const
	const second = createSeries(seed + FURTHER_SEED, length, FURTHER_KINDS, pauses)
	const lossPauses = [MINIMUM_LOSS_PAUSE, MAXIMUM_LOSS_PAUSE] as const
	const third = createSeries(seed + LOSS_SEED, length, LOSS_KINDS, lossPauses)
	return [...first, ...second, ...third].sort((a, b) => a.at - b.at)
}

/** @param pauses - minimum and maximum time between two faults */
function createSeries(
	seed: number,
	length: number,
	kinds: readonly SoakFault[],
	pauses: readonly [number, number]
): PlannedFault[] {
	const random = createRandom(seed)
	const faults: PlannedFault[] = []
	let at = random.integer(...pauses)
	while (at < length) {
		faults.push({
			kind: random.pick(kinds),
			at,
			duration: random.integer(MINIMUM_DURATION, MAXIMUM_DURATION),
			target: random.integer(0, MAXIMUM_TARGET),
			hitsOwner: random.integer(0, 1) === 1,
		})
		at += random.integer(...pauses)
	}
	return faults
}
