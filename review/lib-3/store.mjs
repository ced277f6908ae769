import { pause, serve } from './http.mjs'

const LENGTH_BYTES = 4
const PAGE_RECORDS = 500
const PAGE_BYTES = 1_000_000
/** Limits of the settings file, which the store keeps to. */
export const STORE_LIMITS = { parts: 24, recordBytes: 262_144, callBytes: 2_097_152 }
const ANSWER_MILLISECONDS = 4
const POLL_MILLISECONDS = 5
const MINIMUM_TTL = 1_000

/**
 * Stand-in for the platform's store: a log with keyed topics and consumer groups, as PROTOCOL.md says.
 * It keeps everything that it has acknowledged.
 */
export class Store {
	/** Partitions, as `TOPIC/PART`, whose calls are answered with 503: the store is partly down. */
	down = new Set()
	/** Called with each append that the store refuses. */
	onRefusal = () => undefined
	partitions = new Map()
	groups = new Map()

	async listen(host, port) {
		this.server = await serve(host, port, (call) => this.handle(call))
	}

	close() {
		return this.server.close()
	}

	/** Writes a keyed record as the operator or a worker does; without a value the key is dropped. */
	put(topic, key, value) {
		const partition = this.getPartition(topic, 0)
		partition.add(encodeRecord(key, value === undefined ? '' : JSON.stringify(value)))
	}

	async handle(call) {
		await pause(ANSWER_MILLISECONDS)
		const topic = call.query.get('topic')
		const part = Number(call.query.get('part') ?? 0)
		if (topic !== null && this.down.has(`${topic}/${part}`)) return { status: 503 }
		switch (`${call.method} ${call.path}`) {
			case 'POST /api/log-append':
				return this.append(topic, part, call)
			case 'GET /api/log-read':
				return read(this.getPartition(topic, part), call.query)
			case 'GET /api/log-newest':
				return getNewest(this.getPartition(topic, part), call.query.get('depends_on'))
			case 'POST /api/log-join':
				return this.join(JSON.parse(call.body))
			case 'POST /api/log-leave':
				return this.leave(JSON.parse(call.body))
			default:
				return { status: 404 }
		}
	}

	getPartition(topic, part) {
		const name = `${topic}/${part}`
		if (!this.partitions.has(name)) this.partitions.set(name, new Partition(topic))
		return this.partitions.get(name)
	}

	append(topic, part, { query, body }) {
		if (topic === 'keyed.op' || topic === 'keyed.servers') return { status: 403 }
		const partition = this.getPartition(topic, part)
		const records = splitRecords(body)
		const bytes = records.reduce((sum, record) => sum + record.length - LENGTH_BYTES, 0)
		const largest = Math.max(0, ...records.map((record) => record.length - LENGTH_BYTES))
		if (largest > STORE_LIMITS.recordBytes || bytes > STORE_LIMITS.callBytes) {
			this.onRefusal({ topic, part, records: records.length, bytes, largest })
			return { status: 413 }
		}
		return partition.append(records, query)
	}

	join({ group: name, member, topics, ttl_ms: ttl, generation }) {
		if (!this.groups.has(name)) this.groups.set(name, new Group())
		return this.groups.get(name).join(member, topics, Math.max(ttl, MINIMUM_TTL), generation)
	}

	leave({ group, member }) {
		this.groups.get(group)?.remove(member)
		return { status: 200 }
	}
}

class Partition {
	records = []
	newest = new Map()
	/** Epoch, next sequence number and latest answers of each producer. */
	producers = new Map()

	constructor(topic) {
		this.isKeyed = topic.startsWith('keyed.')
	}

	add(record) {
		const offset = this.records.length
		this.records.push(record)
		if (!this.isKeyed || record.length <= LENGTH_BYTES) return
		const keyEnd = LENGTH_BYTES + 1 + record[LENGTH_BYTES]
		const key = record.toString('utf8', LENGTH_BYTES + 1, keyEnd)
		if (keyEnd >= record.length) this.newest.delete(key)
		else this.newest.set(key, { key, value: record.subarray(keyEnd), offset })
	}

	append(records, query) {
		const end = this.records.length
		if (query.has('at') && Number(query.get('at')) !== end) return { status: 412, body: { end } }
		const refusal = this.checkProducer(records, query)
		if (refusal) return refusal
		for (const record of records) this.add(record)
		const body = { offset: end, end: this.records.length }
		const producer = this.producers.get(query.get('producer'))
		if (producer && records.length > 0) {
			producer.next = Number(query.get('seq')) + 1
			producer.answers.set(Number(query.get('seq')), body)
			producer.answers.delete(producer.next - 6)
		}
		return { status: 200, body }
	}

	/** Returns the answer if the append must not be carried out. */
	checkProducer(records, query) {
		const name = query.get('producer')
		if (name === null) return undefined
		const epoch = Number(query.get('epoch'))
		let producer = this.producers.get(name)
		if (producer && epoch < producer.epoch) return { status: 409, body: { reason: 'fenced' } }
		if (!producer || epoch > producer.epoch) {
			producer = { epoch, next: undefined, answers: new Map() }
			this.producers.set(name, producer)
		}
		if (records.length === 0) return undefined
		const sequence = Number(query.get('seq'))
		const earlier = producer.answers.get(sequence)
		if (earlier) return { status: 200, body: earlier }
		if (producer.next === undefined || sequence === producer.next) return undefined
		return { status: 409, body: { reason: 'seq', seq: producer.next } }
	}
}

/** Consumer group: partitions stay with their members as far as an even distribution allows. */
class Group {
	generation = 0
	members = new Map()
	targets = []
	holders = []

	join(name, topics, ttl, known) {
		const now = Date.now()
		for (const [other, { until }] of this.members) if (until < now) this.remove(other)
		if (!this.members.has(name)) {
			this.members.set(name, { until: now + ttl })
			this.distribute()
		}
		this.members.get(name).until = now + ttl
		if (known >= this.generation) this.release(name)
		const parts = []
		for (let part = 0; part < STORE_LIMITS.parts; part += 1) {
			if (this.targets[part] !== name) continue
			this.holders[part] ??= name
			if (this.holders[part] === name) parts.push([topics[0], part, 0])
		}
		return { status: 200, body: { generation: this.generation, ttl_ms: ttl, parts } }
	}

	release(name) {
		for (let part = 0; part < STORE_LIMITS.parts; part += 1) {
			if (this.holders[part] === name && this.targets[part] !== name) this.holders[part] = undefined
		}
	}

	remove(name) {
		if (!this.members.delete(name)) return
		for (let part = 0; part < STORE_LIMITS.parts; part += 1) {
			if (this.holders[part] === name) this.holders[part] = undefined
		}
		this.distribute()
	}

	distribute() {
		this.generation += 1
		const names = [...this.members.keys()]
		const share = Math.ceil(STORE_LIMITS.parts / Math.max(1, names.length))
		const counts = new Map(names.map((name) => [name, 0]))
		for (let part = STORE_LIMITS.parts - 1; part >= 0; part -= 1) {
			let target = this.targets[part]
			if (!counts.has(target) || counts.get(target) >= share)
				target = names.find((name) => counts.get(name) < share)
			this.targets[part] = target
			if (target !== undefined) counts.set(target, counts.get(target) + 1)
		}
	}
}

async function read(partition, query) {
	const from = Number(query.get('from'))
	const until = Date.now() + Number(query.get('wait_ms') ?? 0)
	while (partition.records.length <= from && Date.now() < until) await pause(POLL_MILLISECONDS)
	const header = Buffer.alloc(16)
	header.writeBigUInt64BE(BigInt(partition.records.length), 0)
	const bytes = Number(query.get('max_kb') ?? 1_024) * 1_024
	const records = []
	let total = 0
	for (let offset = from; offset < partition.records.length; offset += 1) {
		total += partition.records[offset].length
		if (total > bytes) break
		records.push(partition.records[offset])
	}
	return { status: 200, body: Buffer.concat([header, ...records]) }
}

function getNewest(partition, after) {
	const keys = [...partition.newest.keys()].sort().filter((key) => after === null || key > after)
	const items = []
	let total = 0
	for (const key of keys) {
		const { value, offset } = partition.newest.get(key)
		total += value.length
		if (items.length === PAGE_RECORDS || (items.length > 0 && total > PAGE_BYTES)) break
		items.push({ key, value: value.toString('base64'), offset })
	}
	const truncated = items.length < keys.length
	return { status: 200, body: { items, truncated, end: partition.records.length } }
}

function splitRecords(body) {
	const records = []
	for (let position = 0; position < body.length;) {
		const end = position + LENGTH_BYTES + body.readUInt32BE(position)
		records.push(body.subarray(position, end))
		position = end
	}
	return records
}

function encodeRecord(key, value) {
	const content = Buffer.from(key + value)
	const header = Buffer.alloc(LENGTH_BYTES + 1)
	header.writeUInt32BE(1 + content.length, 0)
	header.writeUInt8(Buffer.byteLength(key), LENGTH_BYTES)
	return Buffer.concat([header, content])
}
