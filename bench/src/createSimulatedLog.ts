import { Fold, type BackendServer, type Pool, type Proposal } from '@mastichead/core'
import { SimulatedLog } from './SimulatedLog.js'

const MEMBERS_PER_ZONE = 3

/**
 * Creates a log whose first entries apply a fleet and add three entry instances per availability
 * zone.
 *
 * @internal
 */
export function createSimulatedLog(
	pools: readonly Pool[],
	backendServers: readonly BackendServer[]
): SimulatedLog {
	const log = new SimulatedLog(new Fold())
	const zones = [...new Set(backendServers.map(({ availabilityZone }) => availabilityZone))]
	const noChanges = { put: [], remove: [] }
	const initialApply: Proposal = {
		kind: 'apply',
		id: 'first',
		base: 0,
		operator: 'bench',
		patch: {
			name: 'bench',
			availabilityZones: zones,
			pools: { put: pools, remove: [] },
			queues: noChanges,
			teams: noChanges,
			backendServers: { put: backendServers.map(assignAddress), remove: [] },
		},
	}
	log.append(initialApply, 0)
	for (const availabilityZone of zones) {
		for (let count = 0; count < MEMBERS_PER_ZONE; count += 1) {
			const instance = `${availabilityZone}-${count}`
			const peerAddress = '127.0.0.1:1'
			log.append({ kind: 'join', id: instance, instance, availabilityZone, peerAddress }, 0)
		}
	}
	return log
}

/** Gives a backend server a unique loopback address. Nothing listens on it. */
function assignAddress(server: BackendServer, index: number): BackendServer {
	const [thirdOctet, fourthOctet] = [Math.floor(index / 250), (index % 250) + 1]
	return { ...server, address: `127.1.${thirdOctet}.${fourthOctet}:1` }
}
