"""Load generator: callers that each send requests one after the other and time them.

Run as ``python -m bench._driver ADDRESS PATH CALLERS SECONDS METHOD [HEADER=VALUE...]``; prints
one JSON object. With the header ``Idempotency-Key=*`` each request gets a new key.
"""

import http.client
import json
import statistics
import sys
import threading
import time
import uuid

__all__ = ["main"]


def main() -> None:
    """Generate the load and print the results."""
    address, path, callers, seconds, method, *pairs = sys.argv[1:]
    headers = dict(pair.split("=", 1) for pair in pairs)
    took_ms: list[float] = []
    failed: list[int] = []
    end = time.monotonic() + float(seconds)
    tasks = [
        threading.Thread(target=call, args=(address, path, method, headers, end, took_ms, failed))
        for _ in range(int(callers))
    ]
    for task in tasks:
        task.start()
    for task in tasks:
        task.join()
    took_ms.sort()
    seen = {
        "count": len(took_ms),
        "failed": len(failed),
        "rate": len(took_ms) / float(seconds),
        "p50_ms": statistics.median(took_ms) if took_ms else 0.0,
        "p99_ms": took_ms[int(len(took_ms) * 0.99)] if took_ms else 0.0,
    }
    print(json.dumps(seen))


def call(
    address: str,
    path: str,
    method: str,
    headers: dict[str, str],
    end: float,
    took_ms: list[float],
    failed: list[int],
) -> None:
    """Send requests one after the other until ``end``."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    sent = dict(headers)
    while time.monotonic() < end:
        if headers.get("Idempotency-Key") == "*":
            sent["Idempotency-Key"] = uuid.uuid4().hex
        began = time.monotonic()
        connection.request(method, path, b"text" if method == "POST" else None, sent)
        answer = connection.getresponse()
        answer.read()
        if answer.status == 200:
            took_ms.append((time.monotonic() - began) * 1000)
        else:
            failed.append(answer.status)


if __name__ == "__main__":
    main()
