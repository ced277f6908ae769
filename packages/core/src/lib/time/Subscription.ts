/**
 * A running subscription; `cancel` is idempotent.
 *
 * @public
 */
export interface Subscription {
	cancel(): void
}
