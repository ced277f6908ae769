/**
 * A request of an operator once its credential is checked and its body read.
 *
 * @internal
 */
export interface OperatorRequest {
	/** Name of the operator whose credential came with it. */
	readonly operator: string
	/** Parts of the path that the template of the resource names. */
	readonly parameters: Readonly<Record<string, string>>
	/** Parsed JSON body; undefined when there is none. */
	readonly body: unknown
}
