"""The platform's protocol: clients as a front, executors as links, on the one loop, core and module."""
