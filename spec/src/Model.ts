/**
 * A protocol modelled as a state machine that is small enough to visit every state.
 *
 * States are plain data. Two states are equal if their JSON is equal.
 *
 * @public
 */
export abstract class Model<State, Action> {
	abstract readonly name: string
	/** Checks of each state by name. A check returns a description of the violation, or undefined. */
	abstract readonly invariants: ReadonlyMap<string, (state: State) => string | undefined>
	abstract createInitial(): State
	/** Returns the actions that are possible in a state. */
	abstract getActions(state: State): readonly Action[]
	/** Returns the state after an action. Must not modify `state`. */
	abstract apply(state: State, action: Action): State
}
