"""Cost of a fleet by its size: hollow members and real nodes on sockets, and cores in virtual time."""
