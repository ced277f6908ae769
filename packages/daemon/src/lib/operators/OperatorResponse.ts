/**
 * A response of the operator server.
 *
 * @internal
 */
export type OperatorResponse =
	| { readonly type: 'json'; readonly status: number; readonly body: unknown }
	| { readonly type: 'text'; readonly status: number; readonly text: string }
