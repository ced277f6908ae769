import type { Placement } from '../state/Placement.js'

/**
 * Formats the activity of a backend server, such as `draining for wave spring`.
 *
 * @public
 */
export function formatActivity(activity: Placement['activity']): string {
	switch (activity.type) {
		case 'serving':
			return 'serving'
		case 'joining':
			return `joining from pool ${activity.from}`
		case 'maintenance':
			return `in maintenance for wave ${activity.wave}`
		case 'draining':
			return `draining for ${getDrainReason(activity)}`
	}
}

function getDrainReason(activity: Extract<Placement['activity'], { type: 'draining' }>): string {
	switch (activity.reason) {
		case 'operator':
			return 'an operator'
		case 'move':
			return `a move to pool ${activity.to}`
		case 'wave':
			return `wave ${activity.wave}`
	}
}
