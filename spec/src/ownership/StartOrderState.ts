/** What an owner knows of the start order of a placed task, as in `@mastichead/core`. */
export type StartOrderState = 'recorded' | 'sent' | 'unclear' | 'confirmed' | 'barred' | 'inherited'
