import type { MaintenanceWave } from '../ports/MaintenanceWave.js'
import type { WaveProgress } from './WaveProgress.js'
import type { WaveRow } from './WaveRow.js'

/**
 * Creates the row of a maintenance wave.
 *
 * @param progress - what earlier owners have recorded; undefined for a new wave
 * @param wallTime - milliseconds since 1970
 * @internal
 */
export function createWaveRow(
	key: string,
	wave: MaintenanceWave,
	progress: WaveProgress | undefined,
	wallTime: number
): WaveRow {
	const ordered = progress?.ordered ?? []
	const done = new Set(progress?.done)
	return {
		key,
		wave,
		ordered: new Set(ordered),
		unansweredOrders: new Map(
			ordered.filter((machine) => !done.has(machine)).map((machine) => [machine, undefined])
		),
		done,
		down: new Map(),
		evacuating: new Map(),
		earlierEvacuations: new Map(Object.entries(progress?.evacuatingSince ?? {})),
		missingSince: new Map(),
		missingTimes: new Map(Object.entries(progress?.missingTimes ?? {})),
		receivedAt: progress?.receivedAt ?? wallTime,
		reported: progress?.reported ?? 'nothing',
	}
}
