/** RPC calls and messages between the programs of the fleet: cbor-x values in frames over TCP. */
export * from "./lib/address.js";
export * from "./lib/byte-collector.js";
export * from "./lib/collect-bytes.js";
export * from "./lib/frame-codec.js";
export * from "./lib/frame-history.js";
export * from "./lib/link.js";
export * from "./lib/piece-pacer.js";
export * from "./lib/read-gate.js";
export * from "./lib/rpc-client.js";
export * from "./lib/rpc-server.js";
