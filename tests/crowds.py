"""Clients that don't behave: connections that send from one thread and stay open.

A crowd writes without waiting for anything, as fast as the other side reads, and keeps
its connections until its block ends. ``watch`` samples what a process needs meanwhile.
"""

import contextlib
import dataclasses
import itertools
import os
import pathlib
import selectors
import socket
import threading
import time

HOST = "127.0.0.1"
MEGABYTE = 1024 * 1024
#: How long a crowd writes at most.
WRITING_SECONDS = 4.0
SAMPLE_SECONDS = 0.02
#: In a row of /proc/net/tcp: the local address, the queues, the file's inode.
LOCAL, QUEUES, INODE = 1, 4, 9
BLOCK_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True)
class Kind:
    """What each of some connections sends: a head, then a body up to some bytes.

    ``block`` is repeated until ``size`` bytes were sent, which is short of the end. The
    kernel receives ``unread`` bytes of an answer, as nobody reads it.
    """

    count: int
    head: str = ""
    block: bytes = b""
    size: int = 0
    unread: int = 0


def make_head(path, *lines, method="POST"):
    """Return the head of a request, without the blank line that ends it."""
    return "\r\n".join([f"{method} {path} HTTP/1.1", "Host: api", *lines, ""])


def send_length(count, path, size, *lines, method="POST", unsent=1):
    """Return connections that announce a body, and stop short of its end."""
    head = make_head(path, *lines, f"Content-Length: {size}", method=method)
    return Kind(count, head + "\r\n", b"x" * BLOCK_BYTES, size - unsent)


def send_chunks(count, path, size, chunk, *lines, method="POST"):
    """Return connections that send a body in chunks, and stop short of its end."""
    head = make_head(path, *lines, "Transfer-Encoding: chunked", method=method)
    framed = b"%x\r\n" % chunk + b"x" * chunk + b"\r\n"
    block = framed * max(1, BLOCK_BYTES // len(framed))
    return Kind(count, head + "\r\n", block, (size - 1) // chunk * len(framed))


def send_nothing(count):
    """Return connections on which nothing is sent."""
    return Kind(count)


def read_nothing(count, path, *lines):
    """Return connections that send whole requests, and never read an answer."""
    head = make_head(path, *lines, "Content-Length: 0")
    return Kind(count, head + "\r\n", unread=4096)


def send_part_of_head(count, path):
    """Return connections that stop within their heads."""
    return Kind(count, make_head(path))


class Client:
    """One connection of a crowd, with what is left to send."""

    def __init__(self, port, kind):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        if kind.unread:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, kind.unread)
        self.socket.connect_ex((HOST, port))
        self.left = kind.size
        self.block = kind.block
        self.data = memoryview(kind.head.encode())

    def write(self):
        """Send some bytes; return whether more are to be sent."""
        if not self.data and self.left:
            self.data = memoryview(self.block)[: self.left]
            self.left -= len(self.data)
        if self.data:
            self.data = self.data[self.socket.send(self.data) :]
        return bool(self.data or self.left)


@contextlib.contextmanager
def gather(port, *kinds):
    """Open the connections, let them write for a while, and keep them open."""
    made = [(kind, number) for kind in kinds for number in range(kind.count)]
    made.sort(key=lambda pair: pair[1])  # the kinds take turns
    clients = [Client(port, kind) for kind, _ in made]
    try:
        write_all(clients)
        yield
    finally:
        for one in clients:
            one.socket.close()


def write_all(clients):
    """Write on all connections until each has sent its part, or the time is over."""
    deadline = time.monotonic() + WRITING_SECONDS
    with selectors.DefaultSelector() as selector:
        for one in clients:
            selector.register(one.socket, selectors.EVENT_WRITE, one)
        while selector.get_map() and time.monotonic() < deadline:
            for key, _ in selector.select(0.1):
                try:
                    goes_on = key.data.write()
                except OSError:
                    goes_on = False
                if not goes_on:
                    selector.unregister(key.fileobj)


@dataclasses.dataclass
class Needs:
    """The most that a process needed at a time: megabytes, and descriptors."""

    memory: float = 0.0
    descriptors: int = 0


@contextlib.contextmanager
def watch(pid):
    """Yield the needs of a process during the block, sampled in a thread."""
    needs = Needs()
    done = threading.Event()

    def sample():
        while not done.wait(SAMPLE_SECONDS):
            with contextlib.suppress(OSError):
                needs.memory = max(needs.memory, read_memory(pid))
                found = len(os.listdir(f"/proc/{pid}/fd"))
                needs.descriptors = max(needs.descriptors, found)

    thread = threading.Thread(target=sample)
    thread.start()
    try:
        yield needs
    finally:
        done.set()
        thread.join()


def read_memory(pid):
    """Return the megabytes of a process, with the bytes that wait to be read by it."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (resident,) = [
        int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS")
    ]
    return resident / 1024 + count_unread(list_ports(pid)) / MEGABYTE


def list_ports(pid):
    """Return the local ports on which a process listens, as in /proc/net/tcp."""
    rows = read_sockets(pid)
    own = set(list_inodes(pid))
    return {row[LOCAL] for row in rows if row[INODE] in own and row[3] == "0A"}


def list_inodes(pid):
    """Yield the inodes of a process's sockets."""
    for number in os.listdir(f"/proc/{pid}/fd"):
        with contextlib.suppress(OSError):
            target = os.readlink(f"/proc/{pid}/fd/{number}")
            if target.startswith("socket:["):
                yield target[len("socket:[") : -1]


def read_sockets(pid):
    """Return the rows of /proc/net/tcp, split at blanks."""
    lines = pathlib.Path(f"/proc/{pid}/net/tcp").read_text().splitlines()
    return [line.split() for line in itertools.islice(lines, 1, None)]


def count_unread(ports):
    """Return how many bytes were received at local ports and not read, accepted or not.

    Those of a listening socket's row are a count of connections.
    """
    rows = read_sockets("self")
    return sum(
        int(row[QUEUES].partition(":")[2], 16)
        for row in rows
        if row[LOCAL] in ports and row[3] != "0A"
    )
