/**
 * Actions of the configuration model.
 *
 * - `apply`: an operator sends a document that replaces the version a daemon has folded
 * - `append`: an apply in flight is appended to the log, possibly once more
 * - `read`: a daemon reads to the end of the log
 * - `copy`: a daemon that cannot reach the log copies the entries of the other daemon
 * - `restart`: a daemon restarts and stops serving
 * - `serve`: a restarted daemon serves if it has caught up
 * - `settle`: an operator reads the outcome of its apply from a daemon
 *
 * @public
 */
export type ConfigurationAction =
	| { readonly kind: 'apply' | 'settle'; readonly operator: number; readonly daemon: number }
	| { readonly kind: 'append'; readonly index: number }
	| { readonly kind: 'read' | 'copy' | 'restart' | 'serve'; readonly daemon: number }
