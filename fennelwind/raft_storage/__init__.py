"""Durable storage of a Raft member: log segments, checksums, snapshots; handling of full and faulty disks."""
