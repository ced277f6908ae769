/**
 * A protocol as a state machine, small enough to visit every state.
 *
 * States are plain data; two states are the same when their JSON is.
 *
 * @public
 */
export abstract class Model<State, Action> {
	abstract readonly name: string
	/** What must hold in every state, by name. @returns what is wrong, or undefined */
	abstract readonly invariants: ReadonlyMap<string, (state: State) => string | undefined>
	abstract createInitial(): State
	/** Actions that are possible in a state. */
	abstract getActions(state: State): readonly Action[]
	/** Gives the state after an action; must not change the one before. */
	abstract apply(state: State, action: Action): State
}
