"""An answer that its upstream breaks off reaches no caller as a complete one."""

import contextlib
import socket
import struct
import time
import unittest

from tests import cut_links, gateways, signalling

#: More than the buffers of a connection take, so that it is still being sent.
UPLOAD_BYTES = 4 * 1024 * 1024
#: Uploads for each pause, in seconds, between a part of an answer and a reset.
UPLOADS = 8
PAUSES = (0.0, 0.005, 0.02)
HEAD = b"HTTP/1.1 200 OK\r\nTrestlestall-Signature: s1\r\n"
BODY = b"0123456789" * 400
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
#: Seconds to read the rest of an upload.
READ_SECONDS = 2.0


class EarlyUpstream(signalling.Upstream):
    """Answers uploads before it reads them, without a length, as ``script`` does."""

    script = None

    def answer(self, handler):
        if handler.headers.get("Content-Length") != str(UPLOAD_BYTES):
            super().answer(handler)
            return
        arrival = signalling.Arrival(time.monotonic(), "", 200, {}, handler.path)
        self.arrivals.append(arrival)
        handler.close_connection = True
        opened = socket.socket(fileno=handler.connection.detach())
        with contextlib.closing(opened), contextlib.suppress(OSError):
            self.script(opened)


def reset(opened):
    """Close a connection by a reset."""
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    opened.close()


def break_off(data, pause):
    """Return a script that sends a part of an answer, and resets the connection."""

    def script(opened):
        opened.sendall(HEAD + data)
        time.sleep(pause)
        reset(opened)

    return script


def end_early(data, pause=None):
    """Return a script that sends an answer and its end, and reads the upload.

    It resets the connection in place of that if it is given a pause in seconds.
    """

    def script(opened):
        opened.sendall(HEAD + data)
        opened.shutdown(socket.SHUT_WR)
        if pause is None:
            opened.settimeout(READ_SECONDS)
            while opened.recv(65536):
                pass
        else:
            time.sleep(pause)
            reset(opened)

    return script


class BrokenOffCase(signalling.OneUpstreamCase):
    """Uploads through a gateway whose upstream answers them early."""

    upstream_type = EarlyUpstream

    def make_document(self):
        (route,) = gateways.make_document(5)["routes"]
        route.update(whole_seconds=10.0)
        events = {**route, "name": "events", "prefix": "/events/", "streams": True}
        limits = {"body_bytes": 2 * UPLOAD_BYTES}
        return gateways.make_document(5, routes=[route, events], limits=limits)

    def upload(self, path, script):
        """Return the answers to some uploads, each of which reaches the upstream."""
        self.upstream.script = script
        before = len(self.upstream.list_arrivals())
        answers = [self.upload_one(path) for _ in range(UPLOADS)]
        arrived = len(self.upstream.list_arrivals()) - before
        self.assertEqual(arrived, UPLOADS)
        return answers

    def upload_one(self, path):
        """Return the answer to one upload."""
        request = f"{path}-{time.monotonic()}"
        body = request.encode().ljust(UPLOAD_BYTES, b"z")
        headers = {"Host": "api", "Trestlestall_Request": request}
        port = self.system.ports[self.asked]
        return gateways.ask(port, "POST", path, body, 15.0, **headers)

    def check_broken(self, path, data):
        """Check that no caller gets a part of an answer as a complete one."""
        for pause in PAUSES:
            with self.subTest(pause=pause):
                answers = self.upload(path, break_off(data, pause))
                taken = [answer for answer in answers if answer.status == 200]
                self.assertEqual(len(taken), 0)

    def check_whole(self, path, data, body):
        """Check that all callers get an answer whose end came early."""
        for pause in (None, *PAUSES):
            with self.subTest(pause=pause):
                answers = self.upload(path, end_early(data, pause))
                whole = [one for one in answers if one == gateways.Answer(200, body)]
                self.assertEqual(len(whole), UPLOADS)


class EndTests:
    """What the end of an answer must be, by whichever way it comes."""

    def test_a_reset_beside_an_upload_does_not_end_a_body(self):
        """Guards against a reset that a writer meets and the reader never sees."""
        self.check_broken("/work/x", b"\r\n" + BODY)

    def test_a_reset_beside_an_upload_does_not_end_a_stream(self):
        self.check_broken("/events/x", EVENT_STREAM + b"\r\n" + EVENTS)

    def test_an_early_answer_is_whole_also_with_a_reset_behind_its_end(self):
        self.check_whole("/work/x", b"\r\n" + BODY, BODY)
        self.check_whole("/events/x", EVENT_STREAM + b"\r\n" + EVENTS, EVENTS)


class DirectTest(EndTests, BrokenOffCase):
    """The gateway that is asked connects to the upstream."""


class ThroughPeerTest(EndTests, BrokenOffCase):
    """The gateway that is asked can't reach the upstream itself."""

    gateways = 2

    def prepare(self, folder):
        opened = cut_links.open_links(folder, [self.asked])
        self.system.hosts.update(self.stack.enter_context(opened))

    def connect(self):
        links = self.system.hosts[self.asked]
        links.refuse(self.upstream.address)
        links.write()


if __name__ == "__main__":
    unittest.main()
