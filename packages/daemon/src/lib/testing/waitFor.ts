import { setTimeout as delay } from 'node:timers/promises'

const POLL_MILLISECONDS = 10

/**
 * Polls until `isDone` returns true.
 *
 * @param options.timeout - milliseconds after which it rejects; 5 s by default
 * @param options.describe - describes the awaited condition in the error
 *
 * @internal
 */
export async function waitFor(
	isDone: () => boolean | Promise<boolean>,
	options: { readonly timeout?: number; readonly describe?: () => string } = {}
): Promise<void> {
	const end = performance.now() + (options.timeout ?? 5000)
	while (!(await isDone())) {
		if (performance.now() > end) throw new Error(`timed out: ${options.describe?.() ?? ''}`)
		await delay(POLL_MILLISECONDS)
	}
}
