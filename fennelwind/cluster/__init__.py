"""Runs the Raft group on the loop: members, connections, clients, leased tasks and what rests on them."""
