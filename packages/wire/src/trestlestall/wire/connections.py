"""The library's connections, made to write outside their lock.

``websockets.sync`` holds a connection's lock while it writes, and needs the same lock
to read. Two peers that write large messages to each other at the same moment then wait
for each other for ever. Once a connection is set to ``queueing``, what it has to write
is kept, and ``flush`` writes it without the lock, so that reading goes on.
"""

import collections

from websockets.sync import client, server


class QueueingMixin:
    """Keeps the bytes to write until ``flush`` is called."""

    queueing = False
    outgoing: collections.deque[bytes]

    def start_queueing(self) -> None:
        """Keep what is written from now on; done once the link is authenticated."""
        self.outgoing = collections.deque()
        self.queueing = True

    def send_data(self) -> None:
        """Take over what the protocol has to write (the library calls this)."""
        if not self.queueing:
            super().send_data()
            return
        self.outgoing.extend(data for data in self.protocol.data_to_send() if data)

    def flush(self) -> int:
        """Write what was kept and return the number of bytes; only one greenlet may."""
        count = 0
        while self.outgoing:
            data = self.outgoing.popleft()
            self.socket.sendall(data)
            count += len(data)
        return count


class DialledConnection(QueueingMixin, client.ClientConnection):
    """A connection that this process opened."""


class AcceptedConnection(QueueingMixin, server.ServerConnection):
    """A connection that the peer opened."""
