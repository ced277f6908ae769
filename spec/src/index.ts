export { Model } from './Model.js'
export { runSearches } from './runSearches.js'
export { search } from './search.js'
export { type SearchResult } from './SearchResult.js'
