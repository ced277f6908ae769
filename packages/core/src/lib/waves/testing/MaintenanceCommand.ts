/**
 * One random event. The `fate` of proposals is `twice` for a duplicated append, `lost` for a lost reply
 * after which the daemon proposes again under a new id, and `late` for a delay until `deliver-late`.
 */
export type MaintenanceCommand =
	| { type: 'tick'; controller: number; lag: number; fate: 'arrives' | 'twice' | 'lost' | 'late' }
	| { type: 'deliver-late'; keep: number }
	| { type: 'request'; controller: number; server: number }
	| { type: 'break'; rack: number; servers: number }
	| { type: 'repair'; rack: number }
	| { type: 'report'; member: number }
	| { type: 'false-report'; member: number; pool: number }
	| { type: 'heartbeat' }
	| {
			type: 'apply'
			pool: number
			maximumUnavailable: number
			server: number
			removed: boolean
			stale: boolean
	  }
	| { type: 'drain'; server: number; draining: boolean; override: boolean }
	| { type: 'move'; server: number; from: number; to: number; abort: boolean }
	| { type: 'wave'; wave: number; action: 'create' | 'pause' | 'resume' | 'abort' }
	| { type: 'replace'; controller: number }
	| { type: 'outage'; ticks: number }
