export { runSoak } from './lib/runSoak.js'
