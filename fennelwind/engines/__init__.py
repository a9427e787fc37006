"""Links to engines over the service that clients speak, and to the discovery that lists them."""
