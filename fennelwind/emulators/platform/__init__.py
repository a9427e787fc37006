"""The platform's executors, command channel and clients, written by its protocol, with faults."""
