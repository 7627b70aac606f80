"""HTTP towards callers and endpoints: the request path."""

from lentilrill.gateway._server import GatewayServer

__all__ = ["GatewayServer"]
