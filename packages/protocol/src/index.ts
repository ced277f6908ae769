export * from './generated/peer.js'
