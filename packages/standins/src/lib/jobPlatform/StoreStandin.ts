import { setTimeout as delay } from 'node:timers/promises'
import { JsonServer } from './JsonServer.js'

/** Interval at which a waiting read checks for new records. */
const POLL_INTERVAL_MILLISECONDS = 10
const LENGTH_BYTES = 4
const OFFSET_BYTES = 8
const DEFAULT_PARTITIONS = 24
/** Maximum size of a page of newest records. */
const MAXIMUM_PAGE_RECORDS = 500
const MAXIMUM_PAGE_BYTES = 1_000_000
/** Maximum size of a record without its length. */
const MAXIMUM_RECORD_BYTES = 262_144
const DEFAULT_READ_KILOBYTES = 1_024
const BYTES_PER_KILOBYTE = 1_024

interface Partition {
	readonly records: Buffer[]
	epoch: number
	/** Answers to appends of the current epoch, by sequence number. */
	answers: Map<string, object>
}

interface Member {
	readonly expiresAt: number
	readonly renewedAt: number
}

/**
 * Stand-in for the platform's metadata store. It keeps partitions of records and fences producers
 * by epoch. Its only consumer group assigns the last partition of the first topic and no other; the
 * partition stays with its member until that member leaves or expires.
 *
 * @public
 */
export class StoreStandin {
	/** While true, calls get no answer. */
	isUnresponsive = false
	/** Memberships last at least this many milliseconds, whatever their members ask for. */
	minimumMembership = 0
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

	/** Appends a keyed record, as the operator or a backend server does. */
	put(topic: string, key: string, value: object): void {
		this.getOrCreatePartition(topic, '0').records.push(encodeRecord(key, JSON.stringify(value)))
	}

	/** Removes a key by appending a record with an empty value. */
	delete(topic: string, key: string): void {
		this.getOrCreatePartition(topic, '0').records.push(encodeRecord(key, ''))
	}

	/** Returns the newest value of a key, or undefined if there is none. */
	get(topic: string, key: string): string | undefined {
		const item = listNewestValues(this.getOrCreatePartition(topic, '0')).find(
			(entry) => entry.key === key
		)
		return item && Buffer.from(item.value, 'base64').toString()
	}

	private async handle(
		call: string,
		query: URLSearchParams,
		body: Buffer
	): Promise<{ status: number; body: object | Buffer } | undefined> {
		if (this.isUnresponsive) return undefined
		const topic = query.get('topic') ?? ''
		const partition = this.getOrCreatePartition(topic, query.get('part') ?? '0')
		switch (call) {
			case 'POST /api/log-append':
				return appendRecords(partition, query, body)
			case 'GET /api/log-read':
				return readRecords(partition, query)
			case 'GET /api/log-newest':
				return { status: 200, body: createPage(partition, query.get('depends_on') ?? undefined) }
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
		for (const [name, { expiresAt }] of this.members) if (expiresAt < now) this.leave(name)
		if (!this.members.has(member)) this.generation += 1
		this.members.set(member, {
			expiresAt: now + Math.max(ttl_ms, this.minimumMembership),
			renewedAt: now,
		})
		this.owner ??= member
		const parts = this.owner === member ? [[topics[0], DEFAULT_PARTITIONS - 1, 0]] : []
		return { generation: this.generation, ttl_ms, parts }
	}

	private leave(member: string): void {
		if (!this.members.delete(member)) return
		this.generation += 1
		if (this.owner === member) this.owner = [...this.members.keys()][0]
	}

	private getOrCreatePartition(topic: string, part: string): Partition {
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

function appendRecords(
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
		const previousAnswer = sequence === null ? undefined : partition.answers.get(sequence)
		if (previousAnswer) return { status: 200, body: previousAnswer }
	}
	const offset = partition.records.length
	const records = splitRecords(body)
	if (records.some(({ length }) => length > LENGTH_BYTES + MAXIMUM_RECORD_BYTES))
		return { status: 413, body: {} }
	partition.records.push(...records)
	const answer = { offset, end: partition.records.length }
	if (sequence !== null) partition.answers.set(sequence, answer)
	return { status: 200, body: answer }
}

function splitRecords(body: Buffer): Buffer[] {
	const records: Buffer[] = []
	for (let position = 0; position < body.length;) {
		const end = position + LENGTH_BYTES + body.readUInt32BE(position)
		records.push(body.subarray(position, end))
		position = end
	}
	return records
}

async function readRecords(
	partition: Partition,
	query: URLSearchParams
): Promise<{ status: number; body: Buffer }> {
	const from = Number(query.get('from'))
	const until = Date.now() + Number(query.get('wait_ms') ?? 0)
	while (partition.records.length <= from && Date.now() < until)
		await delay(POLL_INTERVAL_MILLISECONDS)
	const header = Buffer.alloc(2 * OFFSET_BYTES)
	header.writeBigUInt64BE(BigInt(partition.records.length), 0)
	const kilobytes = Number(query.get('max_kb') ?? DEFAULT_READ_KILOBYTES)
	const records = takeWhileFits(
		partition.records.slice(from),
		(record) => record.length,
		kilobytes * BYTES_PER_KILOBYTE
	)
	return { status: 200, body: Buffer.concat([header, ...records]) }
}

/** Returns the first items whose sizes total at most `maximum`. */
function takeWhileFits<T>(
	items: readonly T[],
	getSize: (item: T) => number,
	maximum: number
): readonly T[] {
	let total = 0
	const end = items.findIndex((item) => {
		total += getSize(item)
		return total > maximum
	})
	return end < 0 ? items : items.slice(0, end)
}

interface NewestValue {
	readonly key: string
	/** Encoded in base64. */
	readonly value: string
	readonly offset: number
}

/**
 * Creates one page of the newest records, in the order of their keys.
 *
 * @param after - key after which the page begins; undefined for the first page
 */
function createPage(partition: Partition, after: string | undefined): object {
	const values = listNewestValues(partition)
		.filter(({ key }) => after === undefined || key > after)
		.sort((a, b) => (a.key < b.key ? -1 : 1))
	const limited = values.slice(0, MAXIMUM_PAGE_RECORDS)
	const items = takeWhileFits(limited, ({ value }) => value.length, MAXIMUM_PAGE_BYTES)
	return { items, truncated: items.length < values.length, end: partition.records.length }
}

function listNewestValues(partition: Partition): NewestValue[] {
	const items = new Map<string, NewestValue>()
	for (const [offset, record] of partition.records.entries()) {
		if (record.length <= LENGTH_BYTES) continue
		const keyEnd = LENGTH_BYTES + 1 + record.readUInt8(LENGTH_BYTES)
		const key = record.toString('utf8', LENGTH_BYTES + 1, keyEnd)
		const value = record.subarray(keyEnd)
		if (value.length === 0) items.delete(key)
		else items.set(key, { key, value: value.toString('base64'), offset })
	}
	return [...items.values()]
}

/** Layout: length of the rest (4 bytes), length of the key (1 byte), key, value. */
function encodeRecord(key: string, value: string): Buffer {
	const content = Buffer.from(key + value)
	const header = Buffer.alloc(LENGTH_BYTES + 1)
	header.writeUInt32BE(1 + content.length, 0)
	header.writeUInt8(Buffer.byteLength(key), LENGTH_BYTES)
	return Buffer.concat([header, content])
}
