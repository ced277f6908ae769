/** Reports a module that exports more than one name. */
export const oneExport = {
	meta: {
		type: 'suggestion',
		schema: [],
		messages: { multipleExports: 'A module must export only one name.' },
	},
	create(context) {
		let exportCount = 0
		return {
			ExportNamedDeclaration(node) {
				exportCount += node.declaration ? 1 : node.specifiers.length
				if (exportCount > 1) context.report({ node, messageId: 'multipleExports' })
			},
			ExportDefaultDeclaration(node) {
				exportCount += 1
				if (exportCount > 1) context.report({ node, messageId: 'multipleExports' })
			},
		}
	},
}
