"""Stand-ins for the platform and the backend servers.

They take the place of systems that others run, in tests, measurements and the
demo. They are small and keep everything in memory; nothing here is a product.
"""
