"""What lives as long as one connection, or the connections to one place."""
