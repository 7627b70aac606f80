"""A proxy in front of a minion: it can keep a request back and deliver it late, unanswered."""

import socket
import struct
import threading
import time

CHUNK = 65536


class Proxy:
    """Forwards requests to one address.

    :param delay_of: returns the seconds by which a request is delivered late, 0.0 for none. A late
        request is delivered to whoever serves the address then, and gets no answer.
    """

    def __init__(self, backend, delay_of, on_late):
        host, _, port = backend.rpartition(":")
        self._backend = (host, int(port))
        self._delay_of = delay_of
        self._on_late = on_late
        self._listener = socket.create_server((host, 0), backlog=256)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client):
        backend = None
        try:
            while (message := _read_message(client)) is not None:
                head, body = message
                path = head.split(b" ", 2)[1].decode()
                delay_s = self._delay_of(path, body)
                if delay_s:
                    threading.Thread(
                        target=self._deliver_late, args=(head + body, delay_s), daemon=True
                    ).start()
                    _drain(client)
                    return
                if backend is None:
                    backend = socket.create_connection(self._backend, timeout=5.0)
                backend.sendall(head + body)
                answer = _read_message(backend)
                if answer is None:
                    _reset(client)
                    return
                client.sendall(answer[0] + answer[1])
        except OSError:
            _reset(client)
        finally:
            client.close()
            if backend is not None:
                backend.close()

    def _deliver_late(self, request, delay_s):
        time.sleep(delay_s)
        try:
            with socket.create_connection(self._backend, timeout=5.0) as backend:
                backend.sendall(request)
                answer = _read_message(backend)
        except OSError:
            answer = None
        status = answer[0].split(b" ", 2)[1].decode() if answer else "no answer"
        self._on_late(f"{status} {answer[1].decode(errors='replace') if answer else ''}")


def _read_message(sock):
    """Return the head and the body of one HTTP message; None at the end of the connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(CHUNK)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        part = sock.recv(CHUNK)
        if not part:
            return None
        body += part
    return head + b"\r\n\r\n", body


def _drain(sock):
    """Read until the client gives up, without an answer."""
    while sock.recv(CHUNK):
        pass


def _reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
