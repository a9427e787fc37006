"""Connections to HiveServer2 engines, and the client of the discovery service that lists them."""
