"""Interest-scoped distribution of tables and settings.

The owner of a service decides it once for all servers, and servers subscribe to the services that they use.
"""
