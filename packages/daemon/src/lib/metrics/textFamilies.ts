/**
 * Families of metrics that scrapers get for each label.
 *
 * @internal
 */
export const textFamilies = ['outcomes', 'wait', 'service', 'total'] as const
