"""Limits outside the policy: connections, bytes, logins, log lines, retries. No I/O."""
