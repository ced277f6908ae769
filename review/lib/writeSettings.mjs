import { writeFileSync } from 'node:fs'

/** Writes the settings file of an entry instance, with the bounds of the smallest deployments. */
export function writeSettings(file, { name, ip, store, cloud, seeds }) {
	writeFileSync(
		file,
		`node = "${name}"
role = "daemon"
machine_class = "front"
serves = ["front"]
ip = "${ip}"
zone = "a"
region = "r"
port_range = [7000,7015]
seeds = [${seeds.map((seed) => `"${seed}:8345"`).join(',')}]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
command_mode = "rpc"
[zones]
a = "r"
[listen]
front = "${ip}:8340"
ready = "${ip}:8343"
control = "${ip}:8345"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 6000
stop_grace_ms = 400
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
require_fencing = true
lease_ms = 3000
[platform]
address = "${store}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
parts = 24
append_ms = 1.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
[cloud]
address = "${cloud}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
`
	)
}
