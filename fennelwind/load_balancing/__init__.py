"""Load balancing by one of many controllers, which sees only a small part of the fleet's load itself."""
