/** Reports a module that exports more than one name. */
export const oneExport = {
	meta: { type: 'suggestion', schema: [], messages: { many: 'A module exports one name.' } },
	create(context) {
		let count = 0
		return {
			ExportNamedDeclaration(node) {
				count += node.declaration ? 1 : node.specifiers.length
				if (count > 1) context.report({ node, messageId: 'many' })
			},
			ExportDefaultDeclaration(node) {
				count += 1
				if (count > 1) context.report({ node, messageId: 'many' })
			},
		}
	},
}
