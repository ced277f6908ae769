/**
 * Actions of the configuration model.
 *
 * - `copy`: a daemon cut from the log takes the entries that the other daemon has
 * - `settle`: an operator whose answer was lost reads the outcome from a daemon
 *
 * @public
 */
export type ConfigurationAction =
	| { readonly kind: 'apply' | 'settle'; readonly operator: number; readonly daemon: number }
	| { readonly kind: 'append'; readonly index: number }
	| { readonly kind: 'read' | 'copy' | 'restart' | 'serve'; readonly daemon: number }
