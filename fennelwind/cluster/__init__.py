"""Runs the Raft group on the loop: members, connections, clients, leased tasks and services built on it."""
