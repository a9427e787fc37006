"""Stand-ins for what the controller lives among: engines, discovery and clients, with scripted faults."""
