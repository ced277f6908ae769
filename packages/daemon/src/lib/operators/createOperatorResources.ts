import { DrainResource } from './DrainResource.js'
import { FleetResource } from './FleetResource.js'
import { HealthResource } from './HealthResource.js'
import { HistogramsResource } from './HistogramsResource.js'
import { KeyResource } from './KeyResource.js'
import { KeysResource } from './KeysResource.js'
import { MetricsResource } from './MetricsResource.js'
import { MovesResource } from './MovesResource.js'
import type { OperatorContext } from './OperatorContext.js'
import type { OperatorResource } from './OperatorResource.js'
import { ReadinessResource } from './ReadinessResource.js'
import { StatusResource } from './StatusResource.js'
import { WaveActionResource } from './WaveActionResource.js'
import { WaveResource } from './WaveResource.js'
import { WavesResource } from './WavesResource.js'

/**
 * Creates every resource of the operator HTTP interface.
 *
 * @internal
 */
export function createOperatorResources(context: OperatorContext): readonly OperatorResource[] {
	return [
		new FleetResource(context),
		new KeysResource(context),
		new KeyResource(context),
		new DrainResource(context),
		new WavesResource(context),
		new WaveResource(context),
		new WaveActionResource(context),
		new MovesResource(context),
		new StatusResource(context),
		new HistogramsResource(context),
		new MetricsResource(context),
		new HealthResource(context),
		new ReadinessResource(context),
	]
}
