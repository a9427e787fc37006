"""Load balancing by one of many controllers, each of which sees only a small part of the fleet's load."""
