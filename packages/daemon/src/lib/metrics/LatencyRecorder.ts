import { build, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js'

/** Histograms count in tenths of a millisecond. */
const UNITS_PER_MILLISECOND = 10
const UNITS_PER_HOUR = 36_000_000

/** Upper bounds of the exported histogram buckets. */
const BUCKET_BOUNDS_MILLISECONDS = [1, 2.5, 5, 10, 25, 50, 100, 250, 500, 1e3, 2.5e3, 1e4, 6e4, 6e5]

/**
 * Records a latency distribution in a fixed-size histogram with one significant digit, and in
 * cumulative buckets for scrapers. The histogram caps values at one hour.
 *
 * @internal
 */
export class LatencyRecorder {
	static readonly bucketBoundsMilliseconds: readonly number[] = BUCKET_BOUNDS_MILLISECONDS

	readonly histogram: Histogram = build({
		bitBucketSize: 32,
		autoResize: false,
		highestTrackableValue: UNITS_PER_HOUR,
		numberOfSignificantValueDigits: 1,
	})
	/** Number of recorded values at or below each bound. */
	readonly buckets = new Float64Array(BUCKET_BOUNDS_MILLISECONDS.length)
	sumMilliseconds = 0

	/** Memory used by the histogram and its buckets, in bytes. */
	get bytes(): number {
		return this.histogram.estimatedFootprintInBytes + this.buckets.byteLength
	}

	record(milliseconds: number): void {
		const value = Math.max(0, milliseconds)
		const units = Math.round(value * UNITS_PER_MILLISECOND)
		this.histogram.recordValue(Math.min(units, UNITS_PER_HOUR))
		this.sumMilliseconds += value
		for (const [index, bound] of BUCKET_BOUNDS_MILLISECONDS.entries()) {
			if (value <= bound) this.buckets[index] = (this.buckets[index] ?? 0) + 1
		}
	}

	/** Adds the values of another recorder. */
	merge(other: LatencyRecorder): void {
		this.histogram.add(other.histogram)
		this.sumMilliseconds += other.sumMilliseconds
		for (const [index, count] of other.buckets.entries()) {
			this.buckets[index] = (this.buckets[index] ?? 0) + count
		}
	}

	/** Encodes the histogram in a form that readers can merge with others. */
	encode(): string {
		return encodeIntoCompressedBase64(this.histogram)
	}
}
