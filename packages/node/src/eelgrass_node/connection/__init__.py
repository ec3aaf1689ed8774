"""The connection layer: HTTP servers and clients for callers, nodes and backends.

Its objects live as long as one connection, or all connections to one address.
"""
