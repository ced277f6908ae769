import { setTimeout as delay } from 'node:timers/promises'
import { JsonServer } from './JsonServer.js'

/** How often a waiting read looks for records, in milliseconds. */
const LOOK_INTERVAL = 10
const LENGTH_BYTES = 4
const OFFSET_BYTES = 8
const DEFAULT_PARTITIONS = 24

interface Partition {
	readonly records: Buffer[]
	epoch: number
	/** Answers of the present epoch by sequence number. */
	answers: Map<string, object>
}

interface Member {
	readonly until: number
	readonly since: number
}

/**
 * Stand-in of the platform's metadata store: partitions of records, epochs of producers, and a
 * group whose last partition stays with its member.
 *
 * @public
 */
export class StoreStandin {
	/** Calls get no answer. */
	silent = false
	private readonly partitions = new Map<string, Partition>()
	private readonly members = new Map<string, Member>()
	private owner: string | undefined
	private generation = 0
	private readonly server = new JsonServer(({ method, url, body }) =>
		this.handle(`${method} ${url.pathname}`, url.searchParams, body)
	)

	listen(host: string, port: number): Promise<void> {
		return this.server.listen(host, port)
	}

	close(): Promise<void> {
		return this.server.close()
	}

	/** Writes a keyed record as the operator or a backend server does. */
	put(topic: string, key: string, value: object): void {
		this.use(topic, '0').records.push(encode(key, JSON.stringify(value)))
	}

	/** Removes a key. */
	delete(topic: string, key: string): void {
		this.use(topic, '0').records.push(encode(key, ''))
	}

	/** Newest value of a key; undefined if there is none. */
	get(topic: string, key: string): string | undefined {
		const item = listNewest(this.use(topic, '0')).items.find((entry) => entry.key === key)
		return item && Buffer.from(item.value, 'base64').toString()
	}

	private async handle(
		call: string,
		query: URLSearchParams,
		body: Buffer
	): Promise<{ status: number; body: object | Buffer } | undefined> {
		if (this.silent) return undefined
		const topic = query.get('topic') ?? ''
		const partition = this.use(topic, query.get('part') ?? '0')
		switch (call) {
			case 'POST /api/log-append':
				return append(partition, query, body)
			case 'GET /api/log-read':
				return read(partition, query)
			case 'GET /api/log-newest':
				return { status: 200, body: listNewest(partition) }
			case 'POST /api/log-join':
				return { status: 200, body: this.join(JSON.parse(body.toString()) as JoinCall) }
			case 'POST /api/log-leave':
				this.leave((JSON.parse(body.toString()) as JoinCall).member)
				return { status: 200, body: {} }
			default:
				return { status: 404, body: {} }
		}
	}

	private join({ member, topics, ttl_ms }: JoinCall): object {
		const now = Date.now()
		for (const [name, { until }] of this.members) if (until < now) this.leave(name)
		if (!this.members.has(member)) this.generation += 1
		this.members.set(member, { until: now + ttl_ms, since: now })
		this.owner ??= member
		const parts = this.owner === member ? [[topics[0], DEFAULT_PARTITIONS - 1, 0]] : []
		return { generation: this.generation, ttl_ms, parts }
	}

	private leave(member: string): void {
		if (!this.members.delete(member)) return
		this.generation += 1
		if (this.owner === member) this.owner = [...this.members.keys()][0]
	}

	private use(topic: string, part: string): Partition {
		const name = `${topic}/${part}`
		let partition = this.partitions.get(name)
		if (!partition) {
			partition = { records: [], epoch: -1, answers: new Map() }
			this.partitions.set(name, partition)
		}
		return partition
	}
}

interface JoinCall {
	readonly member: string
	readonly topics: readonly string[]
	readonly ttl_ms: number
}

function append(
	partition: Partition,
	query: URLSearchParams,
	body: Buffer
): { status: number; body: object } {
	const epoch = query.get('epoch')
	const sequence = query.get('seq')
	if (epoch !== null) {
		if (Number(epoch) < partition.epoch) return { status: 409, body: { reason: 'fenced' } }
		if (Number(epoch) > partition.epoch) partition.answers = new Map()
		partition.epoch = Number(epoch)
		const known = sequence === null ? undefined : partition.answers.get(sequence)
		if (known) return { status: 200, body: known }
	}
	const offset = partition.records.length
	for (let place = 0; place < body.length;) {
		const end = place + LENGTH_BYTES + body.readUInt32BE(place)
		partition.records.push(body.subarray(place, end))
		place = end
	}
	const answer = { offset, end: partition.records.length }
	if (sequence !== null) partition.answers.set(sequence, answer)
	return { status: 200, body: answer }
}

async function read(
	partition: Partition,
	query: URLSearchParams
): Promise<{ status: number; body: Buffer }> {
	const from = Number(query.get('from'))
	const until = Date.now() + Number(query.get('wait_ms') ?? 0)
	while (partition.records.length <= from && Date.now() < until) await delay(LOOK_INTERVAL)
	const head = Buffer.alloc(2 * OFFSET_BYTES)
	head.writeBigUInt64BE(BigInt(partition.records.length), 0)
	return { status: 200, body: Buffer.concat([head, ...partition.records.slice(from)]) }
}

interface Item {
	readonly key: string
	/** Base64. */
	readonly value: string
	readonly offset: number
}

function listNewest(partition: Partition): { items: Item[]; truncated: boolean; end: number } {
	const items = new Map<string, Item>()
	for (const [offset, record] of partition.records.entries()) {
		const keyEnd = LENGTH_BYTES + 1 + record.readUInt8(LENGTH_BYTES)
		const key = record.toString('utf8', LENGTH_BYTES + 1, keyEnd)
		const value = record.subarray(keyEnd)
		if (value.length === 0) items.delete(key)
		else {
			items.set(key, { key, value: value.toString('base64'), offset })
		}
	}
	return { items: [...items.values()], truncated: false, end: partition.records.length }
}

function encode(key: string, value: string): Buffer {
	const content = Buffer.from(key + value)
	const head = Buffer.alloc(LENGTH_BYTES + 1)
	head.writeUInt32BE(1 + content.length, 0)
	head.writeUInt8(Buffer.byteLength(key), LENGTH_BYTES)
	return Buffer.concat([head, content])
}
