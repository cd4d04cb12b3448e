"""A TCP proxy on loopback that can be cut: it then holds back what it gets, in both directions."""

import socket
import threading
import time
from contextlib import suppress

CHUNK = 64 * 1024
POLL_S = 0.02


class Proxy:
    """Forwards connections from a free loopback port to `target`, HOST:PORT."""

    def __init__(self, target: str, port: int = 0) -> None:
        """`port`: the port to listen on, 0 for a free one."""
        host, _, target_port = target.rpartition(":")
        self._target = (host, int(target_port))
        self.is_cut = False
        self._closed = False
        self._server = socket.create_server(("127.0.0.1", port), backlog=128)
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening and forwarding."""
        self._closed = True
        self._server.close()

    def _accept(self) -> None:
        while not self._closed:
            try:
                client, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _hold(self) -> None:
        while self.is_cut and not self._closed:
            time.sleep(POLL_S)

    def _connect(self, client: socket.socket) -> None:
        self._hold()
        try:
            server = socket.create_connection(self._target, timeout=2.0)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        for one in (client, server):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._pump, args=(client, server), daemon=True).start()
        threading.Thread(target=self._pump, args=(server, client), daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        with suppress(OSError):
            while data := source.recv(CHUNK):
                self._hold()
                if self._closed:
                    break
                sink.sendall(data)
        self._hold()
        for one in (source, sink):
            with suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
            one.close()
