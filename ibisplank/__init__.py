"""Load balancer for backend servers whose start outlasts a load peak."""

__version__ = '0.1.0'
