import type { OperatorResponse } from './OperatorResponse.js'
import type { OperatorContext } from './OperatorContext.js'
import type { OperatorRequest } from './OperatorRequest.js'

/**
 * A resource of the operator HTTP interface. Subclasses implement the HTTP methods that the
 * resource supports.
 *
 * @internal
 */
export abstract class OperatorResource {
	/** Path template, such as `/v1/keys/:key`. */
	abstract readonly path: string
	/** Whether the resource is accessible without a token. */
	readonly isPublic: boolean = false

	constructor(protected readonly context: OperatorContext) {}

	get?(request: OperatorRequest): Promise<OperatorResponse>

	put?(request: OperatorRequest): Promise<OperatorResponse>

	post?(request: OperatorRequest): Promise<OperatorResponse>

	delete?(request: OperatorRequest): Promise<OperatorResponse>

	/** Returns the parameters of a path that matches the template, otherwise undefined. */
	match(path: string): Readonly<Record<string, string>> | undefined {
		const template = this.path.split('/')
		const parts = path.split('/')
		if (parts.length !== template.length) return undefined
		const parameters: Record<string, string> = {}
		for (const [index, expected] of template.entries()) {
			const part = parts[index] ?? ''
			if (expected.startsWith(':')) parameters[expected.slice(1)] = part
			else if (expected !== part) return undefined
		}
		return parameters
	}
}
