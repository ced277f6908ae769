/**
 * Stand-in for the platform's store: partitions of records, the newest record of each key, producers with
 * epochs and sequence numbers, and one group of members.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { serve } from './http.mjs'

const RECORD_BYTES = 262_144
const CALL_BYTES = 2_097_152
const PARTITIONS = 24
const PAGE_RECORDS = 500
const PAGE_BYTES = 1_000_000

export class Store {
	partitions = new Map()
	/** Members in the order in which they joined: name -> instant of expiry. */
	members = new Map()
	generation = 0
	/** Called with each call; a returned answer is sent instead, `false` leaves the call unanswered. */
	intercept = () => undefined

	async listen(host, port) {
		this.address = `${host}:${port}`
		this.server = await serve(host, port, (request) => this.handle(request))
	}

	/** Writes as the operator or a worker does. */
	put(topic, key, value) {
		const content = Buffer.from(key + (value === undefined ? '' : JSON.stringify(value)))
		const head = Buffer.alloc(5)
		head.writeUInt32BE(1 + content.length, 0)
		head.writeUInt8(Buffer.byteLength(key), 4)
		this.append(this.partition(topic, '0'), [Buffer.concat([head, content])])
	}

	partition(topic, part) {
		const name = `${topic}/${part}`
		let partition = this.partitions.get(name)
		if (!partition) {
			partition = { topic, records: [], newest: new Map(), epoch: -1, next: 0, answers: new Map() }
			this.partitions.set(name, partition)
		}
		return partition
	}

	async handle({ call, query, body }) {
		const intercepted = await this.intercept({ call, query, body })
		if (intercepted === false) return undefined
		if (intercepted) return intercepted
		const partition = this.partition(query.get('topic') ?? '', query.get('part') ?? '0')
		switch (call) {
			case 'POST /api/log-append':
				await delay(1)
				return this.handleAppend(partition, query, body)
			case 'GET /api/log-read':
				return read(partition, query)
			case 'GET /api/log-newest':
				return { status: 200, body: createPage(partition, query.get('depends_on')) }
			case 'POST /api/log-join':
				return { status: 200, body: this.join(JSON.parse(body.toString())) }
			case 'POST /api/log-leave':
				this.leave(JSON.parse(body.toString()).member)
				return { status: 200, body: {} }
			default:
				return { status: 404, body: {} }
		}
	}

	handleAppend(partition, query, body) {
		const records = splitRecords(body)
		if (body.length > CALL_BYTES) return { status: 413, body: {} }
		if (records.some((record) => record.length - 4 > RECORD_BYTES)) return { status: 413, body: {} }
		if (!query.has('epoch')) return { status: 200, body: this.append(partition, records) }
		const epoch = Number(query.get('epoch'))
		if (epoch < partition.epoch) return { status: 409, body: { reason: 'fenced' } }
		if (epoch > partition.epoch) {
			partition.epoch = epoch
			partition.next = undefined
			partition.answers.clear()
		}
		if (records.length === 0) return { status: 200, body: this.append(partition, records) }
		const sequence = Number(query.get('seq'))
		const earlier = partition.answers.get(sequence)
		if (earlier) return { status: 200, body: earlier }
		if (partition.next !== undefined && sequence !== partition.next)
			return { status: 409, body: { reason: 'seq', seq: partition.next } }
		const answer = this.append(partition, records)
		partition.next = sequence + 1
		partition.answers.set(sequence, answer)
		partition.answers.delete(sequence - 5)
		return { status: 200, body: answer }
	}

	append(partition, records) {
		const offset = partition.records.length
		for (const record of records) {
			if (partition.topic.startsWith('keyed.')) {
				const keyEnd = 5 + record.readUInt8(4)
				const key = record.toString('utf8', 5, keyEnd)
				if (keyEnd === record.length) partition.newest.delete(key)
				else {
					const value = record.subarray(keyEnd)
					partition.newest.set(key, { value, offset: partition.records.length })
				}
			}
			partition.records.push(record)
		}
		return { offset, end: partition.records.length }
	}

	/**
	 * How the partitions are dealt, evenly either way: `sticky` leaves them with their members as far as possible,
	 * `in turn` deals them to the members in the order of their names.
	 */
	deal = 'sticky'
	/** Member to which each partition is dealt. */
	dealt = new Map()

	reassign() {
		this.generation += 1
		const names = [...this.members.keys()].sort()
		if (names.length === 0) return this.dealt.clear()
		if (this.deal === 'in turn') {
			for (let part = 0; part < PARTITIONS; part += 1)
				this.dealt.set(part, names[part % names.length])
			return
		}
		const most = Math.ceil(PARTITIONS / names.length)
		const counts = new Map(names.map((name) => [name, 0]))
		for (let part = PARTITIONS - 1; part >= 0; part -= 1) {
			const name = this.dealt.get(part)
			if (counts.has(name) && counts.get(name) < most) counts.set(name, counts.get(name) + 1)
			else this.dealt.delete(part)
		}
		for (let part = 0; part < PARTITIONS; part += 1) {
			if (this.dealt.has(part)) continue
			const [name] = [...counts].sort((x, y) => x[1] - y[1])[0]
			this.dealt.set(part, name)
			counts.set(name, counts.get(name) + 1)
		}
	}

	join({ member, topics, ttl_ms: ttl, generation }) {
		const now = performance.now()
		for (const [name, { expiresAt }] of this.members) if (expiresAt < now) this.leave(name)
		if (!this.members.has(member)) {
			this.members.set(member, {})
			this.reassign()
		}
		const row = this.members.get(member)
		row.expiresAt = now + ttl
		// A member gives up the partitions that are no longer listed when it has seen the new deal.
		if (generation >= this.generation) row.seen = this.generation
		const parts = []
		for (let part = 0; part < PARTITIONS; part += 1)
			if (this.dealt.get(part) === member && this.mayHold(part, member))
				parts.push([topics[0], part, 0])
		for (const [, part] of parts) this.holders.set(part, member)
		return { generation: this.generation, ttl_ms: ttl, parts }
	}

	/** Member that has held each partition last. */
	holders = new Map()

	/** A partition passes on once its holder has seen the new deal, or is gone. */
	mayHold(part, member) {
		const holder = this.holders.get(part)
		if (holder === undefined || holder === member) return true
		const row = this.members.get(holder)
		return !row || (row.seen ?? -1) >= this.generation
	}

	leave(member) {
		if (this.members.delete(member)) this.reassign()
	}
}

function splitRecords(body) {
	const records = []
	for (let position = 0; position < body.length;) {
		const end = position + 4 + body.readUInt32BE(position)
		records.push(body.subarray(position, end))
		position = end
	}
	return records
}

async function read(partition, query) {
	const from = Number(query.get('from'))
	const until = performance.now() + Number(query.get('wait_ms') ?? 0)
	while (partition.records.length <= from && performance.now() < until) await delay(10)
	const head = Buffer.alloc(16)
	head.writeBigUInt64BE(BigInt(partition.records.length), 0)
	const limit = Number(query.get('max_kb') ?? 1_024) * 1_024
	const chunks = [head]
	let total = 0
	for (let offset = from; offset < partition.records.length; offset += 1) {
		total += partition.records[offset].length
		if (total > limit) break
		chunks.push(partition.records[offset])
	}
	return { status: 200, body: Buffer.concat(chunks) }
}

function createPage({ newest, records }, after) {
	const keys = [...newest.keys()].sort().filter((key) => after === null || key > after)
	const items = []
	let bytes = 0
	for (const key of keys) {
		const { value, offset } = newest.get(key)
		bytes += value.length
		if (items.length === PAGE_RECORDS || (bytes > PAGE_BYTES && items.length > 0)) break
		items.push({ key, value: value.toString('base64'), offset })
	}
	return { items, truncated: items.length < keys.length, end: records.length }
}
