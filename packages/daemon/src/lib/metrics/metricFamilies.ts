/**
 * Families of metrics that scrapers get for each label.
 *
 * @internal
 */
export const metricFamilies = ['outcomes', 'wait', 'service', 'total'] as const
