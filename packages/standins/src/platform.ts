import { PlatformServer } from './lib/platform/PlatformServer.js'

const [port = '0', retention = '100000'] = process.argv.slice(2)
const platform = new PlatformServer({ retention: Number(retention) })
const listening = await platform.start(Number(port))
console.log(`event=platform_started port=${listening}`)
process.once('SIGTERM', () => {
	void platform.stop()
})
