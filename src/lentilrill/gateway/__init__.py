"""The HTTP request path from callers to endpoints."""

from lentilrill.gateway._server import GatewayServer

__all__ = ["GatewayServer"]
