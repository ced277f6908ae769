/**
 * Loaded into an instance before its program: SIGUSR2 sets its wall clock off, and the next SIGUSR2
 * sets it right again.
 */
const STEP_VARIABLE = 'SOAK_CLOCK_STEP'
const getTime = Date.now.bind(Date)
const step = Number(process.env[STEP_VARIABLE] ?? 0)
let offset = 0

Date.now = () => getTime() + offset
process.on('SIGUSR2', () => {
	offset = offset === 0 ? step : 0
})
