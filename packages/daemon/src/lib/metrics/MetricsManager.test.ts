import { decodeFromCompressedBase64 } from 'hdr-histogram-js'
import { describe, expect, it } from 'vitest'
import { MetricsManager } from './MetricsManager.js'
import type { RequestMeasurement } from './RequestMeasurement.js'

function createMeasurement(fields: Partial<RequestMeasurement> = {}): RequestMeasurement {
	return {
		team: 'installers',
		queue: 'quotes',
		verdict: 'ran',
		waitMilliseconds: 2,
		serviceMilliseconds: 20,
		totalMilliseconds: 22,
		...fields,
	}
}

describe('MetricsManager', () => {
	it('exports histograms that merge to the same counts as one recorder', async () => {
		const managers = [new MetricsManager(), new MetricsManager()]
		const combined = new MetricsManager()
		for (let value = 1; value <= 200; value++) {
			const measurement = createMeasurement({ totalMilliseconds: value * 7 })
			managers[value % 2]?.recordRequest(measurement)
			combined.recordRequest(measurement)
		}
		const [first, second, expected] = await Promise.all(
			[...managers, combined].map(async (manager) => {
				const { teams } = await manager.getHistograms()
				return decodeFromCompressedBase64(teams[0]?.total ?? '')
			})
		)
		if (!first || !second || !expected) throw new Error('a histogram is missing')
		first.add(second)
		expect(first.totalCount).toBe(200)
		for (const percentile of [1, 50, 90, 99, 100]) {
			expect(first.getValueAtPercentile(percentile)).toBe(expected.getValueAtPercentile(percentile))
		}
	})

	it('keeps values within 1/16 of the recorded value and caps them at one hour', async () => {
		const manager = new MetricsManager()
		manager.recordRequest(createMeasurement({ waitMilliseconds: 1234, totalMilliseconds: 1e9 }))
		const [row] = (await manager.getHistograms()).queues
		const wait = decodeFromCompressedBase64(row?.wait ?? '').getValueAtPercentile(50) / 10
		expect(Math.abs(wait - 1234)).toBeLessThanOrEqual(1234 / 16)
		expect(decodeFromCompressedBase64(row?.total ?? '').totalCount).toBe(1)
	})

	it('counts outcomes by verdict and records no service time for unsent requests', async () => {
		const manager = new MetricsManager()
		manager.recordRequest(createMeasurement())
		manager.recordRequest(createMeasurement({ verdict: 'may-have-run' }))
		manager.recordRequest(createMeasurement({ verdict: 'not-run', serviceMilliseconds: undefined }))
		const [row] = (await manager.getHistograms()).teams
		expect(row?.outcomes).toEqual({ ran: 1, 'may-have-run': 1, 'not-run': 1 })
		expect(decodeFromCompressedBase64(row?.service ?? '').totalCount).toBe(2)
	})

	it('stays within 8 MB at 350 teams and 20,000 queues and loses no count', async () => {
		const manager = new MetricsManager()
		for (let index = 0; index < 20_000; index++) {
			manager.recordRequest(
				createMeasurement({ team: `team-${index % 350}`, queue: `queue-${index}` })
			)
		}
		const report = await manager.getHistograms()
		expect(report.teams).toHaveLength(350)
		expect(report.queues).toHaveLength(513)
		expect(report.queues.reduce((sum, row) => sum + row.outcomes.ran, 0)).toBe(20_000)
		expect(manager.bytes).toBeLessThan(8_000_000)
	})

	it('writes the text exposition format', async () => {
		const manager = new MetricsManager()
		manager.recordRequest(createMeasurement({ team: 'a"b\\c' }))
		const lines = (await manager.getTextExposition()).split('\n')
		expect(lines).toContain('# TYPE mastichead_team_wait_seconds histogram')
		expect(lines).toContain('mastichead_team_requests_total{team="a\\"b\\\\c",verdict="ran"} 1')
		expect(lines).toContain('mastichead_queue_wait_seconds_bucket{queue="quotes",le="0.001"} 0')
		expect(lines).toContain('mastichead_queue_wait_seconds_bucket{queue="quotes",le="0.0025"} 1')
		expect(lines).toContain('mastichead_queue_wait_seconds_bucket{queue="quotes",le="+Inf"} 1')
		expect(lines).toContain('mastichead_queue_total_seconds_sum{queue="quotes"} 0.022')
		const samples = lines.filter((line) => line !== '' && !line.startsWith('#'))
		for (const line of samples) expect(line).toMatch(/^[a-z_]+\{.+\} [0-9.e+-]+$/)
	})
})
