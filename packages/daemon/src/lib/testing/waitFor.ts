import { setTimeout as delay } from 'node:timers/promises'

const POLL_MILLISECONDS = 10

/**
 * Polls until `isDone` holds; throws with `describe()` after `timeout`.
 *
 * @internal
 */
export async function waitFor(
	isDone: () => boolean | Promise<boolean>,
	options: { readonly timeout?: number; readonly describe?: () => string } = {}
): Promise<void> {
	const end = performance.now() + (options.timeout ?? 5000)
	while (!(await isDone())) {
		if (performance.now() > end) throw new Error(`not in time: ${options.describe?.() ?? ''}`)
		await delay(POLL_MILLISECONDS)
	}
}
