"""The controller on the platform: clients over MessagePack-RPC, executors over HTTP, endpoints as events."""
