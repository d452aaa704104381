"""Flow control of an HTTP connection."""

import socket

from uvicorn.protocols.http import flow_control

from azurepier.daemon import _limits


class Flow(flow_control.FlowControl):
    """Flow control that ignores a resume while reading must pause."""

    def __init__(self, transport, conn):
        super().__init__(transport)
        self._conn = conn

    def pause_reading(self):
        if not self.read_paused:
            super().pause_reading()
            self._conn.on_reading_paused()

    def resume_reading(self):
        if self.read_paused and self._conn.may_read():
            super().resume_reading()
            self._conn.on_reading_resumed()


def prepare_socket(sock):
    """Bound the kernel's buffers of the connections of a listening socket."""
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, _limits.SOCKET_BUFFER_BYTES)
