"""The Raft core: elections, replication, membership changes, snapshots and replicated state. No I/O."""
