"""Stand-ins for the platform and the backend servers.

They replace external systems in tests, benchmarks and the demo. They keep all state in
memory and are not meant for production.
"""
