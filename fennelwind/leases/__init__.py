"""Leases with fencing tokens for fleet-wide tasks: replicated state machine and client. No I/O."""
