import type { ChannelOptions } from '@grpc/grpc-js'

const KEEPALIVE_INTERVAL_MILLISECONDS = 5000
const KEEPALIVE_TIMEOUT_MILLISECONDS = 2000
const FIRST_BACKOFF_MILLISECONDS = 100
const MAXIMUM_BACKOFF_MILLISECONDS = 1000
const MAXIMUM_MESSAGE_BYTES = 32 * 1024 * 1024

/**
 * gRPC channel options for both ends of calls between daemons. Channels share no connection, so
 * that a new channel never reuses one that went silent.
 *
 * @internal
 */
export const peerChannelOptions: ChannelOptions = {
	'grpc.keepalive_time_ms': KEEPALIVE_INTERVAL_MILLISECONDS,
	'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MILLISECONDS,
	'grpc.keepalive_permit_without_calls': 1,
	'grpc.initial_reconnect_backoff_ms': FIRST_BACKOFF_MILLISECONDS,
	'grpc.max_reconnect_backoff_ms': MAXIMUM_BACKOFF_MILLISECONDS,
	'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
	'grpc.max_send_message_length': MAXIMUM_MESSAGE_BYTES,
	'grpc.use_local_subchannel_pool': 1,
	'grpc.enable_retries': 0,
	'grpc.enable_channelz': 0,
}
