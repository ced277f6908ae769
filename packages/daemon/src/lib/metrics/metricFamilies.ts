/**
 * The metric families exported for each label.
 *
 * @internal
 */
export const metricFamilies = ['outcomes', 'wait', 'service', 'total'] as const
