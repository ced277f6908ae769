/**
 * An operator request after authentication and parsing.
 *
 * @internal
 */
export interface OperatorRequest {
	/** Name of the authenticated operator; empty for anonymous requests to public resources. */
	readonly operator: string
	/** Values of the path template's parameters. */
	readonly parameters: Readonly<Record<string, string>>
	/** Parsed JSON body; undefined if the body is empty. */
	readonly body: unknown
}
