/** Stand-in for the platform's control of machines. A move ends what runs there; a new worker joins. */
import { serve } from './http.mjs'

const PAGE_SIZE = 20

export class Cloud {
	/** Machines by name: `{ machine, pool, state, worker, token, holder, at }`. */
	machines = new Map()
	/** Called with each order; `false` leaves it unanswered and undone. */
	intercept = () => undefined

	constructor({ report, moveTime = 1_500, onMoved }) {
		Object.assign(this, { report, moveTime, onMoved })
	}

	async listen(host, port) {
		this.address = `${host}:${port}`
		this.server = await serve(host, port, (request) => this.handle(request))
	}

	async handle({ call, query, headers, body }) {
		if (call === 'GET /api/machines') {
			if ((await this.intercept({ call })) === false) return undefined
			return this.list(Number(query.get('page_token') ?? 0))
		}
		const order = JSON.parse(body.toString())
		const holder = headers['lease-holder']
		const token = Number(headers['fencing-token'])
		const intercepted = await this.intercept({ call, order, holder, token })
		const row = this.machines.get(order.machine)
		const seen = { holder, token, call: call.slice(10), ...order }
		if (intercepted === false) {
			this.report('order', { ...seen, answer: 'none' })
			return undefined
		}
		const answer = this.execute(row, order, token)
		this.report('order', { ...seen, answer: `${answer.status} ${answer.body?.reason ?? ''}` })
		return answer
	}

	execute(row, { pool, wave }, token) {
		if (!row) return { status: 400 }
		if (token < (row.token ?? 0)) return { status: 409, body: { reason: 'fence' } }
		row.token = token
		if (pool !== undefined && row.pool === pool) return { status: 200 }
		if (row.state !== 'up') return { status: 409, body: { reason: 'busy' } }
		row.state = pool === undefined ? 'upkeep' : 'moving'
		row.pool = pool ?? row.pool
		row.wave = wave
		row.worker?.crash()
		row.worker = undefined
		setTimeout(() => {
			row.state = 'up'
			this.onMoved?.(row)
		}, this.moveTime)
		return { status: 200 }
	}

	list(start) {
		const rows = [...this.machines.values()]
		const end = start + PAGE_SIZE
		const machines = rows.slice(start, end).map(({ machine, pool, state, worker }) => ({
			...{ machine, pool, state, zone: 'a', labels: ['a', 'r1'] },
			capacity: { cpu: 16_000, mem_mb: 65_536, gpu: 0 },
			id: worker?.id ?? '',
		}))
		return { status: 200, body: { machines, next_token: end < rows.length ? `${end}` : null } }
	}
}
