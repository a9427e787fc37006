"""The command line, and the programs it starts."""
