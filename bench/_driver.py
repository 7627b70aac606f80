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
    latencies_ms: list[float] = []
    failed_statuses: list[int] = []
    end = time.monotonic() + float(seconds)
    threads = [
        threading.Thread(
            target=call, args=(address, path, method, headers, end, latencies_ms, failed_statuses)
        )
        for _ in range(int(callers))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    latencies_ms.sort()
    results = {
        "count": len(latencies_ms),
        "failed": len(failed_statuses),
        "rate": len(latencies_ms) / float(seconds),
        "p50_ms": statistics.median(latencies_ms) if latencies_ms else 0.0,
        "p99_ms": latencies_ms[int(len(latencies_ms) * 0.99)] if latencies_ms else 0.0,
    }
    print(json.dumps(results))


def call(
    address: str,
    path: str,
    method: str,
    headers: dict[str, str],
    end: float,
    latencies_ms: list[float],
    failed_statuses: list[int],
) -> None:
    """Send requests one after the other until ``end``."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    sent = dict(headers)
    while time.monotonic() < end:
        if headers.get("Idempotency-Key") == "*":
            sent["Idempotency-Key"] = uuid.uuid4().hex
        started = time.monotonic()
        connection.request(method, path, b"text" if method == "POST" else None, sent)
        answer = connection.getresponse()
        answer.read()
        if answer.status == 200:
            latencies_ms.append((time.monotonic() - started) * 1000)
        else:
            failed_statuses.append(answer.status)


if __name__ == "__main__":
    main()
