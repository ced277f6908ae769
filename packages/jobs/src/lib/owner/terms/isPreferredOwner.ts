/**
 * Link from which an instance is preferred as the owner, in megabits per second. An owner reads the
 * runs of all backend servers when its term starts, and sends the specification with each start.
 */
const MINIMUM_LINK = 100

/**
 * Whether an instance is preferred as the owner over others.
 *
 * @param linkMegabits - capacity of its network link, in megabits per second; undefined if unknown
 * @public
 */
export function isPreferredOwner(linkMegabits: number | undefined): boolean {
	return linkMegabits === undefined || linkMegabits >= MINIMUM_LINK
}
