"""A fleet's cost by its size: hollow members and real nodes on sockets, and cores in virtual time."""
