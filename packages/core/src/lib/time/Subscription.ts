/**
 * An active subscription or timer; `cancel` is idempotent.
 *
 * @public
 */
export interface Subscription {
	cancel(): void
}
