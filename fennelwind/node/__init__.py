"""The platform's protocol: clients over MessagePack-RPC, executors over HTTP, endpoints as events."""
