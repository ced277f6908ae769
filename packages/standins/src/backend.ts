import { BackendStandin } from './lib/backend/BackendStandin.js'

const [name = 'backend', port = '0', controlPort = '0', run = '20'] = process.argv.slice(2)
const backend = new BackendStandin({ name, runMilliseconds: Number(run) })
const ports = await backend.start(Number(port), Number(controlPort))
console.log(`event=backend_started name=${name} port=${ports.port} control=${ports.controlPort}`)
process.once('SIGTERM', () => {
	void backend.stop()
})
