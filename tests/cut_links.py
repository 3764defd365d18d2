"""Partitions single gateways from upstreams, though all have the same address for it.

A small library, built here and loaded by ``LD_PRELOAD``, looks up the port of each
``connect()`` in a table that the test can change: it connects to another port instead,
or fails as if nothing listened there.
"""

import contextlib
import pathlib
import socket
import struct
import subprocess

from tests import relays
from trestlestall.standins import addresses

SOURCE = r"""
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>

struct entry { unsigned short port, replacement; };
static const volatile struct entry *table;

__attribute__((constructor)) static void open_file(void)
{
    const char *name = getenv("REPLACED_PORTS_FILE");
    int file = name ? open(name, O_RDONLY) : -1;
    void *at = file < 0 ? MAP_FAILED
                        : mmap(0, 4096, PROT_READ, MAP_SHARED, file, 0);
    table = at == MAP_FAILED ? 0 : at;
}

int connect(int opened, const struct sockaddr *address, socklen_t length)
{
    typedef int (*connector)(int, const struct sockaddr *, socklen_t);
    connector original = (connector)dlsym(RTLD_NEXT, "connect");
    if (!table || address->sa_family != AF_INET)
        return original(opened, address, length);
    struct sockaddr_in changed = *(const struct sockaddr_in *)address;
    for (int at = 0; table[at].port; at++) {
        if (table[at].port != ntohs(changed.sin_port))
            continue;
        if (!table[at].replacement) {
            errno = ECONNREFUSED;
            return -1;
        }
        changed.sin_port = htons(table[at].replacement);
        break;
    }
    return original(opened, (struct sockaddr *)&changed, length);
}
"""
TABLE_BYTES = 4096
REFUSED = 0


class SilentPort:
    """A port whose listen queue is full, so that new connections hang."""

    def __init__(self):
        self.sockets = [socket.socket() for _ in range(3)]
        listening = self.sockets[0]
        listening.bind((addresses.LOOPBACK, 0))
        listening.listen(0)
        self.port = listening.getsockname()[1]
        for one in self.sockets[1:]:
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", self.port))

    def close(self):
        """Close the port."""
        for one in self.sockets:
            one.close()


class Links:
    """The links of one gateway to upstreams, given as ``IP:port``.

    It may stand in for a ``suspension.Host`` in ``gateways.Deployment.hosts``.
    """

    def __init__(self, folder, silent_port):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(exist_ok=True)
        self.file = self.folder / "replaced-ports"
        self.file.write_bytes(bytes(TABLE_BYTES))
        self.silent_port = silent_port
        self.relays = {}
        self.replaced = {}
        self.library = self.folder / "links.so"
        source = self.folder / "links.c"
        source.write_text(SOURCE)
        command = ["cc", "-shared", "-fPIC", "-o", self.library, source, "-ldl"]
        subprocess.run(command, check=True)

    @property
    def variables(self):
        """Environment variables that the gateway's process needs."""
        return {
            "LD_PRELOAD": str(self.library),
            "REPLACED_PORTS_FILE": str(self.file),
        }

    def add(self, address):
        """Put a relay between the gateway and an upstream."""
        self.relays[address] = relays.Relay(addresses.parse(address))
        self.heal()

    def heal(self):
        """Let all connections pass."""
        for address, relay in self.relays.items():
            relay.heal()
            self.replaced[address] = relay.address.port
        self.write()

    def cut(self, way, chosen=None):
        """Cut the links to the chosen upstreams, or to all, in one of the ``WAYS``."""
        for address in chosen or self.relays:
            WAYS[way](self, address)
        self.write()

    def hang(self, address):
        """Let open and new connections hang."""
        self.relays[address].freeze()
        self.replaced[address] = self.silent_port

    def reset(self, address):
        """Reset open connections and refuse new ones."""
        self.relays[address].reset()
        self.replaced[address] = REFUSED

    def refuse(self, address):
        """Refuse new connections; open ones live on."""
        self.replaced[address] = REFUSED

    def write(self):
        """Make the table that the gateway's process reads."""
        table = b"".join(
            struct.pack("HH", addresses.parse(address).port, replacement)
            for address, replacement in self.replaced.items()
        )
        with self.file.open("r+b") as stream:
            stream.write(table + bytes(4))

    def close(self):
        """Close the relays."""
        for relay in self.relays.values():
            relay.close()


#: How links are cut, by name.
WAYS = {"hang": Links.hang, "reset": Links.reset, "refuse": Links.refuse}


@contextlib.contextmanager
def open_links(folder, names):
    """Yield the links of each named gateway, by its name."""
    silent = SilentPort()
    links = {}
    try:
        for name in names:
            folder_of_one = pathlib.Path(folder) / f"{name}-links"
            links[name] = Links(folder_of_one, silent.port)
        yield links
    finally:
        for one in links.values():
            one.close()
        silent.close()
