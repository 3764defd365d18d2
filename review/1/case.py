"""Clients leave while their requests wait for a runner; streams of others end early.

A request that a full runner didn't run waits for another runner, which is dark. If its
client leaves then, the gateway shuts down the connection on which the runner said so.
That connection serves another request by now. If the answer there has no length, the
gateway takes its own shutdown for the answer's end.
"""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

SERVICE = "pool"
SECONDS = 95.0
RATE = 100.0
RUNNERS = 4
SLOTS, QUEUE = 16, 2
#: Every so many seconds one of the four runners (a quarter) goes dark for some.
DARK_EVERY_SECONDS = 4.0
DARK_SECONDS = 2.0
#: The share of clients that leave, within half of the route's objective.
LEAVING_SHARE = 0.3
TARGET_SECONDS = 1.0
LEAVE_WITHIN_SECONDS = TARGET_SECONDS / 2
DEADLINE_SECONDS = 4.0
EVENTS = 10
GAP_SECONDS = 0.08


class StreamRunner(harness.Runner):
    """Runs some requests at once and queues a few; says so when it is full.

    Its streams have no length and end with their connection.
    """

    def __init__(self, deployment, record, name):
        super().__init__(deployment, record, name, SERVICE, SLOTS)
        self.present = 0
        self.running = asyncio.Semaphore(SLOTS)
        self.rejected = self.ran = 0
        self.sent = {}

    async def handle(self, method, target, headers, body, reader, writer):
        """Reject the request, or answer it with a stream."""
        request = headers["request-id"]
        if self.present >= SLOTS + QUEUE:
            self.rejected += 1
            self.record.write(f"{self.name} is full, did not run {request}")
            found = {"Request-Id": request, "Not-Executed": "1"}
            writer.write(harness.make_answer(503, found))
            return True
        self.present += 1
        gone = asyncio.create_task(reader.read(1))
        try:
            async with self.running:
                kept = await self._stream(request, writer, gone)
        finally:
            self.present -= 1
            if not gone.done():
                gone.cancel()
                await asyncio.wait([gone])
        return kept

    async def _stream(self, request, writer, gone):
        self.ran += 1
        self.record.write(f"{self.name} runs {request}")
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n"
        head += f"Response-Signature: {self.name}.{request}\r\n"
        head += "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        writer.write(head.encode())
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(GAP_SECONDS)
            if gone.done():
                text = f"{self.name}: connection of {request} closed"
                self.record.write(f"{text} after {number - 1} of {EVENTS} events")
                return False
            writer.write(f"id: {number}\ndata: {request}\n\n".encode())
            await writer.drain()
            self.sent[request] = number
        self.record.write(f"{self.name} ended {request}: all {EVENTS} events sent")
        return False


class Clients:
    """The clients of one gateway, with kept connections."""

    def __init__(self, host, port, record):
        self.host, self.port, self.record = host, port, record
        self.idle = []
        self.counts = {}
        self.complete = {}

    def count(self, what):
        """Count how a request ended."""
        self.counts[what] = self.counts.get(what, 0) + 1

    async def send(self, request, seconds):
        """Send a request, and leave after some seconds without the whole answer."""
        writer = None
        try:
            if self.idle:
                reader, writer = self.idle.pop()
            else:
                found = await asyncio.open_connection(self.host, self.port)
                reader, writer = found
            head = f"POST {harness.PREFIX}x HTTP/1.1\r\nHost: {harness.HOST}\r\n"
            head += f"Request-Id: {request}\r\nContent-Length: 2\r\n"
            head += f"Deadline-Ms: {int(DEADLINE_SECONDS * 1000)}\r\n\r\n{{}}"
            writer.write(head.encode())
            async with asyncio.timeout(seconds):
                kept = await self._read(reader, request)
            if kept:
                self.idle.append((reader, writer))
                writer = None
        except TimeoutError:
            self.count("left")
            self.record.write(f"client of {request} left")
        except (OSError, asyncio.IncompleteReadError):
            self.count("cut off")
            self.record.write(f"client of {request}: answer cut off")
        finally:
            if writer is not None:
                writer.close()

    async def _read(self, reader, request):
        first, headers, body = await harness.read_message(reader)
        status = int(first.split()[1])
        if "transfer-encoding" in headers:
            body = await harness.read_chunks(reader)
        self.count(status)
        events = body.count(b"id: ")
        text = f"client of {request}: {status}, complete"
        self.record.write(f"{text}, {events} events" if status == 200 else text)
        if status == 200:
            self.complete[request] = events
        return headers.get("connection") != "close"


async def darken(runners, deployment, record):
    """Let one runner after the other go dark for a while, and start again."""
    turn = 0
    while True:
        await asyncio.sleep(DARK_EVERY_SECONDS - DARK_SECONDS)
        place = turn % RUNNERS
        old = runners[place]
        await old.go_dark()
        record.write(f"{old.name} is dark")
        await asyncio.sleep(DARK_SECONDS)
        await old.stop()
        turn += 1
        runners[place] = StreamRunner(deployment, record, f"i-{place}{turn:03d}")
        await runners[place].start(old.port)
        runners.append(old)
        record.write(f"{runners[place].name} starts at the address of {old.name}")


async def load(clients, has_trouble):
    """Send requests at random moments; return how many."""
    tasks = set()
    until = time.monotonic() + SECONDS
    number = 0
    while time.monotonic() < until:
        await asyncio.sleep(random.expovariate(RATE))
        number += 1
        leaves = has_trouble and random.random() < LEAVING_SHARE
        most = LEAVE_WITHIN_SECONDS if leaves else None
        seconds = random.uniform(0.0, most) if leaves else DEADLINE_SECONDS + 2.0
        sending = random.choice(clients).send(f"q{number:06d}", seconds)
        tasks.add(asyncio.create_task(sending))
        tasks = {task for task in tasks if not task.done()}
    await asyncio.wait(tasks)
    return number


async def play(record, has_trouble):
    """Play the case; return whether a stream ended early and looked complete."""
    deployment = harness.Deployment(directories=3, gateways=2)
    try:
        deployment.start()
        configuration = harness.make_configuration(
            7,
            SERVICE,
            route_type="streaming",
            timeout_ms=int(DEADLINE_SECONDS * 1000),
            target_latency_ms=int(TARGET_SECONDS * 1000),
            gap_target_ms=500,
        )
        await harness.call_control(
            deployment, "PUT", "/v1/configuration", configuration
        )
        runners = []
        for place in range(RUNNERS):
            runners.append(StreamRunner(deployment, record, f"i-{place}000"))
            await runners[-1].start()
        await harness.wait_until_ready(deployment)
        await asyncio.sleep(3.0)
        clients = [
            Clients(host, deployment.service, record) for host in deployment.gateways
        ]
        darkening = None
        if has_trouble:
            darkening = asyncio.create_task(darken(runners, deployment, record))
        number = await load(clients, has_trouble)
        if darkening is not None:
            darkening.cancel()
        return judge(clients, runners, record, number)
    finally:
        deployment.stop()


def judge(clients, runners, record, number):
    """Return whether a stream was complete for its client before its last piece."""
    broken = 0
    for one in clients:
        for request, events in one.complete.items():
            if events < EVENTS:
                broken += 1
                text = f"BROKEN {request}: complete for its client, {events} of"
                record.write(f"{text} {EVENTS} events")
        print(f"{one.host}: {one.counts}")
    rejected = sum(runner.rejected for runner in runners)
    ran = sum(runner.ran for runner in runners)
    text = f"{number} sent, {ran} run, {rejected} rejected by full runners, "
    text += f"{broken} streams complete before their last piece"
    record.write(text)
    print(text)
    return broken > 0


if __name__ == "__main__":
    harness.run_case(play, FOLDER)
