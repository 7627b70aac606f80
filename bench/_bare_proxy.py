"""Baseline: a proxy of cheroot and urllib3 that forwards each request to a random endpoint.

Run as ``python -m bench._bare_proxy LISTEN kept|new ENDPOINT...``; with ``new`` each request uses
a new connection, with ``kept`` connections are reused.
"""

import random
import sys

import urllib3
from cheroot.server import Gateway, HTTPServer

__all__ = ["main"]

THREADS = 64


def main() -> None:
    """Serve until killed."""
    listen, connections, *endpoints = sys.argv[1:]
    host, _, port = listen.rpartition(":")
    pool = urllib3.PoolManager(num_pools=100, maxsize=THREADS, retries=False)

    class Proxy(Gateway):
        """Forwards one request."""

        def respond(self) -> None:
            """Forward the request and send back the response of the endpoint."""
            req = self.req
            headers = {k.decode().lower(): v.decode("latin-1") for k, v in req.inheaders.items()}
            headers.pop("connection", None)
            if connections == "new":
                headers["connection"] = "close"
            body = req.rfile.read() if "content-length" in headers else None
            url = f"http://{random.choice(endpoints)}{req.uri.decode()}"
            answer = pool.request(req.method.decode(), url, body=body, headers=headers)
            req.status = f"{answer.status} Proxied".encode()
            req.outheaders = [
                (name.encode(), value.encode("latin-1"))
                for name, value in answer.headers.items()
                if name.lower() not in ("connection", "transfer-encoding")
            ]
            req.ensure_headers_sent()
            req.write(answer.data)

    HTTPServer((host, int(port)), Proxy, minthreads=THREADS).start()


if __name__ == "__main__":
    main()
