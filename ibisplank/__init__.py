"""Load balancer for backend servers that start slower than load peaks pass."""

__version__ = '0.1.0'
