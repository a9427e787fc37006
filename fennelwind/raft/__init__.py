"""The agreed record: members, votes, log, snapshots; free of I/O."""
