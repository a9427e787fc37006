"""Days of a few virtual seconds, drawn from a seed, on which clients, executors, lists and ends cross.

The peers are scripted by the seed and keep what they see in a `Record`; a play that is over is judged by it.
They keep to the protocol page; when they do what it allows is drawn.
`python tests/support/crossings_play.py FROM TO` plays the days of some seeds and prints their faults.
"""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

import json
import sys
from collections import deque
from contextlib import suppress
from random import Random

import msgpack
from crossings_oracle import UNASKED_MS, Asked, Fault, Posted, Record, Run, Told
from nodes import CHANNEL, LISTEN, SETTINGS, config_text, instance, nodes_event, query_id, start_node

from fennelwind.loop import Address, ConnectFailed, DeadlineExceeded, SimLoop, StreamReset
from fennelwind.loop.sim import PIPE_BYTES, SimStream

MOVED = Address("127.0.0.8", 9093)
BASE = [{"instance": f"s-{number}", "number": number} for number in range(1, 6)]
NEWS_MS = 250.0  # ms after which an executor answers that a query goes on
PAGE_ROWS = 130  # rows of a page that is nearly full
SPOILT = ["noise", "cut", "stops", "twice", "twice", "twice", "endless", "short", "late", "never", "before"]
LINKS_PART = 0.36  # of the descriptors: connections to executors
END_MS = 10_000.0  # ms of quiet after a day without an end: longer than any request's time
READS_MS = 4000.0  # ms in which clients take what the controller has written before its end
PEERS = ("peer", "main")  # names of tasks that are no part of the controller


class End(SimStream):
    """An end of a connection of the controller's; its closing is seen, and is a reset over unread bytes."""

    __slots__ = ()

    def half_close(self):
        self.loop.ends(self)
        super().half_close()

    def close(self):
        if not self.closed and self.inward.arrived:
            self.abort()  # as a kernel does
        elif not self.closed:
            self.loop.closes(self)
            super().close()

    def abort(self):
        if not self.closed:
            self.loop.closes(self)
            super().abort()


class CrossingLoop(SimLoop):
    """A loop on which connections to executors come up late, and all that passes is seen."""

    def __init__(self, seed, record, late):
        super().__init__(seed)
        self.record, self.late, self.draws = record, late, Random(f"late {seed}")
        self.over = False  # the program has ended
        self.held = {}  # ends that the controller holds, by themselves

    def connect(self, address, caller=None):
        if address == LISTEN:
            stream = super().connect(address)
            self._hold(self.listeners[address].waiting[-1], caller)
            return stream
        if self.over:
            raise ConnectFailed(f"{address}: the program has ended")
        if address not in (CHANNEL, MOVED) and self.draws.random() < self.late:
            self.sleep(self.draws.uniform(0.0, 1500.0))
        stream = super().connect(address)
        if address not in (CHANNEL, MOVED):
            self._watch(stream, address)
        self._hold(stream, address)
        return stream

    def _hold(self, stream, what):
        stream.__class__ = End
        self.held[stream] = what
        if isinstance(what, Address) and what not in (CHANNEL, MOVED):
            self.record.links_open += 1
            self.record.links_most = max(self.record.links_most, self.record.links_open)

    def _watch(self, stream, address):
        pipe, send, wire = stream.outward, stream.outward.send, deque()
        pipe.wire = wire

        def seen(data):
            if data.startswith(b"POST /data "):
                told = data.split(b"X-Req: ", 1)[1][:16].decode()
                posted = Posted(told, address, self.now())
                wire.append(posted)
                self.record.posted[told].append(posted)
            send(data)

        pipe.send = seen

    def ends(self, stream):
        """Note whether the client leaves room for anything when the controller sends it nothing more."""
        what = self.held.get(stream)
        if isinstance(what, Caller):
            what.took_nothing = stream.outward.held >= PIPE_BYTES

    def closes(self, stream):
        """Note that the controller closes an end of its own."""
        what = self.held.pop(stream, None)
        if isinstance(what, Caller):
            what.closed = self.now()
        elif isinstance(what, Address) and what not in (CHANNEL, MOVED):
            self.record.links_open -= 1

    def end(self):
        """End the program: its tasks run no further, and the system closes what it held."""
        self.over = True
        self.record.ended = self.now()
        for task in sorted(self.tasks, key=lambda task: task.name):
            if not task.name.startswith(PEERS):
                task.cancel()
        for stream in list(self.held):
            stream.close()


def result(told, big):
    """Return the pages of a query's result: the same wherever it runs."""
    pages, rows = (8, PAGE_ROWS) if big else (1 + int(told, 16) % 3, 2)
    row = told.encode() + b"\tpage %d\trow %d of the result\n"
    return [b"".join(row % (page, number) for number in range(rows)) for page in range(pages)]


class Engine:
    """An executor of the platform, with troubles drawn for each attempt and each answer."""

    def __init__(self, play, told, zone, cell):
        self.play, self.loop, self.record, self.random = play, play.loop, play.record, play.random
        self.name, self.zone, self.cell = told["instance"], zone, cell
        self.address = Address(f"127.0.1.{told['number']}", 9090)
        self.runs, self.streams = {}, set()
        self.alive, self.hung = True, False
        self.listen()

    def listen(self):
        self.listener = self.loop.listen(self.address)
        self.loop.spawn(self._accept, self.listener, name=f"peer {self.name}")

    def stop(self):
        """Die: what ran has ended, and its connections are reset."""
        if self.alive:
            self.alive = False
            self.listener.close()
            for stream in sorted(self.streams, key=lambda stream: stream.peer):
                stream.abort()
            for run in self.runs.values():
                run.given_up = self.loop.now() if run.given_up is None else run.given_up

    def refuse(self, ms):
        """Die and come back some time later, with nothing that ran; connections are refused meanwhile."""
        self.stop()
        self.loop.sleep(ms)
        if self.play.engines.get(self.name) is self and not self.alive:
            self.runs.clear()
            self.alive = True
            self.listen()

    def cut(self, ms):
        """Be out of reach for a while: nothing arrives and no connection comes up."""
        self.loop.unreachable.add(self.address)
        self.hung = True
        self.loop.sleep(ms)
        self.hung = False
        self.loop.unreachable.discard(self.address)

    def hang(self, ms):
        """Do nothing for a while; connections come up, and what arrives is read later."""
        self.hung = True
        self.loop.sleep(ms)
        self.hung = False

    def reset(self):
        """Reset all connections; what runs runs on."""
        for stream in sorted(self.streams, key=lambda stream: stream.peer):
            stream.abort()

    def _accept(self, listener):
        while True:
            try:
                stream = listener.accept()
            except StreamReset:
                return
            self.streams.add(stream)
            self.loop.spawn(self._serve, stream, name=f"peer {self.name}: connection")

    def _wait(self):
        while self.hung and self.alive:
            self.loop.sleep(20.0)
        if not self.alive:
            raise StreamReset("the executor has died")

    def _serve(self, stream):
        data = b""
        try:
            while True:
                self._wait()
                more = stream.read()
                if not more:
                    return
                self._wait()
                if stream.inward.reset:
                    return  # it was given up before anybody looked at it
                data += more
                while b"\r\n\r\n" in data:
                    head, rest = data.split(b"\r\n\r\n", 1)
                    first, *lines = head.decode().split("\r\n")
                    fields = dict(line.split(": ", 1) for line in lines)
                    length = int(fields.get("Content-Length", "0"))
                    if len(rest) < length:
                        break
                    data = rest[length:]
                    verb, path, _ = first.split(" ")
                    if not self._call(stream, verb, path, fields, rest[:length]):
                        return
        except StreamReset:
            pass
        finally:
            self.streams.discard(stream)
            stream.close()

    def _call(self, stream, verb, path, fields, body):
        """Answer a call; False: no further one on this connection."""
        if path.startswith("/-/"):
            stream.write(b"HTTP/1.1 200 OK\r\nX-Load: cpu:0.3;waiting:0\r\nContent-Length: 0\r\n\r\n")
            return True
        if verb == "POST":
            return self._start(stream, fields["X-Req"], body)
        told = path.split("/")[2]
        run = self._run(told)
        if verb == "DELETE":
            if run is not None and run.told is None:
                run.given_up = self.loop.now()
            self.runs.pop(told, None)
        if verb in ("DELETE", "PUT"):
            stream.write(b"HTTP/1.1 204 Done\r\n\r\n")
            return True
        if run is None:
            stream.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
            return True
        number = int(path.split("/")[3])
        if number:
            if number >= len(run.pages):
                stream.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
                return True
            page = run.pages[number]
            head = b"HTTP/1.1 200 OK\r\nX-Batch: %d\r\nContent-Length: %d\r\n\r\n" % (number, len(page))
            return self._answer(stream, run, head + page)
        return self._news(stream, run)

    def _run(self, told):
        """Return what runs or ran here under an id, unless nobody has asked for it for too long."""
        run = self.runs.get(told)
        if run is None:
            return None
        if run.told is None and self.loop.now() >= run.asked + UNASKED_MS:
            run.given_up = run.asked + UNASKED_MS
            del self.runs[told]
            return None
        run.asked = self.loop.now()
        return run

    def _start(self, stream, told, body):
        now, random, rates = self.loop.now(), self.random, self.play.rates
        posted = stream.inward.wire.popleft()
        assert posted.name == told
        ways = ["refused", "unread", "reset", "error", "stuck"]
        rest = max(0.0, 1.0 - sum(rates[way] for way in ways))
        mode = random.choices([*ways, "ok"], [*(rates[way] for way in ways), rest])[0]
        if mode == "refused":
            posted.not_run = now
            stream.write(
                b"HTTP/1.1 %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                % random.choice([b"503 Full", b"503 Full", b"504 Over"])
            )
            return True
        if mode == "unread":  # reset with the call unread: it has not arrived
            stream.abort()
            return False
        work = random.expovariate(1.0 / self.play.work_ms) + 2.0
        work = work * 12.0 if random.random() < rates["long"] else work
        run = Run(
            told,
            self.name,
            now,
            now,
            posted,
            result(told, b"big" in body),
            now + work if mode != "stuck" else float("inf"),
            mode,
        )
        self.record.runs[told].append(run)
        self.runs[told] = run
        if mode == "reset":  # at once, or in the middle of the work
            self.loop.sleep(random.choice([0.0, random.uniform(0.0, work)]))
            stream.abort()
            return False
        return self._news(stream, run)

    def _news(self, stream, run):
        until = min(self.loop.now() + NEWS_MS, run.ends)
        while self.loop.now() < until:
            self.loop.sleep(max(0.1, until - self.loop.now()))
        self._wait()
        if self.runs.get(run.name) is not run and run.told is None:
            stream.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
            return True
        if self.loop.now() < run.ends:
            stream.write(b"HTTP/1.1 202 Wait\r\nContent-Length: 0\r\n\r\n")
            return True
        if run.mode == "error":
            run.told = run.told or self.loop.now()
            stream.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
            return True
        head = b"HTTP/1.1 200 OK\r\nX-Load: cpu:0.5;waiting:2\r\nX-Batches: %d\r\nContent-Length: %d\r\n\r\n"
        head %= (len(run.pages), len(run.pages[0]))
        return self._answer(stream, run, head + run.pages[0])

    def _answer(self, stream, run, raw):
        """Write a good answer, or what becomes of it."""
        random, how = self.random, "good"
        if random.random() < self.play.rates["spoilt"]:
            how = random.choice(SPOILT)
        if how == "late":
            self.loop.sleep(random.uniform(200.0, 900.0))
        if how == "never":
            return self._deaf(stream)
        if run.told is None:
            run.told = self.loop.now()
        if how in ("good", "late"):
            stream.write(raw)
        elif how == "noise":
            stream.write(b"\x00\xff\x17 no http at all\r\n\r\n")
        elif how == "cut":
            stream.write(raw[: random.randrange(len(raw))])
            self.loop.sleep(random.choice([0.0, 5.0]))
            random.choice([stream.abort, stream.close])()
            return False
        elif how == "stops":
            stream.write(raw[: random.randrange(len(raw))])
            return self._deaf(stream)
        elif how == "twice":
            stream.write(raw)
            self.loop.spawn(self._again, stream, raw, random.uniform(0.0, 12.0), name="peer: again")
        elif how == "before":
            stream.write(b"HTTP/1.1 100 Continue\r\n\r\n" + raw)
        elif how == "short":
            head, body = raw.split(b"\r\n\r\n", 1)
            head = head.replace(b"Content-Length: %d" % len(body), b"Content-Length: %d" % (len(body) - 3))
            stream.write(head + b"\r\n\r\n" + body)
        else:
            head, body = raw.split(b"\r\n\r\n", 1)
            head = head.replace(b"Content-Length: %d" % len(body), b"Content-Length: 3000000000")
            stream.write(head + b"\r\n\r\n" + body)
            for _ in range(100):
                self.loop.sleep(30.0)
                stream.write(body)
            return self._deaf(stream)
        return True

    def _deaf(self, stream):
        while stream.read():
            pass
        return False

    def _again(self, stream, raw, after):
        self.loop.sleep(after)
        with suppress(StreamReset):
            stream.write(raw)


class Registry:
    """The command channel: what it has to tell, at one address at a time."""

    def __init__(self, play):
        self.play, self.loop, self.address = play, play.loop, CHANNEL
        self.events, self.streams, self.silent = [], [], set()
        self.down = False
        self.listen()

    def listen(self):
        self.listener = self.loop.listen(self.address)
        self.loop.spawn(self._accept, self.listener, name="peer: channel")

    def tell(self, instances, reset=False):
        """Tell of a change, or all anew."""
        cursor = 2 + len(self.events)
        self.events.append((cursor, instances, json.dumps(nodes_event(cursor, instances, reset)).encode()))

    def move(self):
        """Tell nothing more at the old address; it is closed some time later."""
        old, self.address = list(self.streams), MOVED if self.address == CHANNEL else CHANNEL
        self.silent |= set(old)
        self.listener.close()
        self.listen()
        self.loop.sleep(1500.0)
        for stream in old:
            stream.close()

    def silence(self, ms):
        """Let what is open say nothing for a while."""
        self.silent |= set(self.streams)
        self.loop.sleep(ms)

    def outage(self, ms):
        """Refuse new connections for a while, and break the open ones."""
        self.listener.close()
        for stream in list(self.streams):
            stream.abort()
        self.loop.sleep(ms)
        if self.address not in self.loop.listeners:
            self.listen()

    def _accept(self, listener):
        while True:
            try:
                stream = listener.accept()
            except StreamReset:
                return
            self.streams.append(stream)
            self.loop.spawn(self._serve, stream, name="peer: channel connection")

    def _serve(self, stream):
        try:
            data = b""
            while b"\r\n\r\n" not in data:
                more = stream.read()
                if not more:
                    return
                data += more
            last = int(data.split(b"Last-Event-ID: ", 1)[1].split(b"\r\n", 1)[0])
            if stream not in self.silent:
                stream.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
            comment = self.loop.now()
            while True:
                for cursor, instances, text in self.events[max(0, last - 1) :]:
                    if stream in self.silent:
                        break
                    self._event(stream, cursor, instances, text)
                    last = cursor
                if stream not in self.silent and self.loop.now() >= comment + 1000.0:
                    comment = self.loop.now()
                    stream.write(b":\n\n")
                self.loop.sleep(10.0)
                if stream.inward.ended or stream.inward.reset:
                    return
        except StreamReset:
            pass
        finally:
            self.streams.remove(stream)
            stream.close()

    def _event(self, stream, cursor, instances, text):
        raw = b"id: %d\ndata: %s\n\n" % (cursor, text)
        chance = self.play.random.random()
        if chance < 0.1:  # breaks off in the middle of it
            stream.write(raw[: self.play.random.randrange(len(raw))])
            stream.abort()
            raise StreamReset("broken off")
        stream.write(raw + raw if chance < 0.2 else raw)
        stream.outward.later(lambda: self.play.told(instances))  # when the controller has it, if it ever does


class Caller:
    """A connection of a client; its behaviour is drawn."""

    def __init__(self, play, kind):
        self.play, self.loop, self.record, self.random = play, play.loop, play.record, play.random
        self.kind, self.pauses, self.number = kind, kind == "glutton", 0
        self.closed = None  # when the controller closed it
        self.took_nothing = False  # then: all that fits on the way to the client lay there untaken
        self.gone = False
        self.open = {}
        try:
            self.stream = self.loop.connect(LISTEN, self)
        except ConnectFailed:
            self.stream, self.gone = None, True
            self.play.callers -= 1
            return
        self.loop.spawn(self._read, name="peer: client reads")

    def _read(self):
        unpacker = msgpack.Unpacker(raw=False)
        try:
            if self.pauses:
                self.loop.sleep(self.random.uniform(300.0, 1500.0))
            while data := self.stream.read(60_000 if self.pauses else 262_144):
                unpacker.feed(data)
                for told in unpacker:
                    self._answer(told)
                if self.pauses:
                    self.loop.sleep(self.random.uniform(0.0, 20.0))
        except StreamReset:
            pass
        except Exception as exc:
            self.record.fault("unreadable", self.loop.now(), f"{type(exc).__name__}: {exc}")
        self.gone = True
        self.play.callers -= 1
        self.stream.close()

    def _answer(self, told):
        kind, number, error, result = told
        asked = self.open.get(number)
        if asked is None:
            if self.kind != "bad":
                self.record.fault("unreadable", self.loop.now(), f"an answer to {number}, not asked")
            return
        how = "served" if error is None else "Shed" if error[0] == "Shed" else "failed"
        asked.answers.append((self.loop.now(), how, result[0] if error is None else b""))

    def waiting(self):
        """Return what is not answered yet."""
        return [asked for asked in self.open.values() if not asked.answers and asked.left is None]

    def send_request(self, pieces=1, most=None):
        """Ask for something; return it, or None where the connection has ended meanwhile."""
        random = self.random
        cls = random.choice(list(self.play.classes))
        wait = random.uniform(250.0, most or self.play.classes[cls]["GiveUpMs"])
        self.play.ids += 1
        told = query_id(self.play.ids)
        self.number += 1
        fields = {"i": told, "d": f"{wait:.0f}", "t": "acme"}
        if random.random() < 0.7:
            fields |= {"h": f"{random.uniform(5.0, 200.0):.1f}", "mb": "16"}
        big = "big" if self.pauses else "1"
        body = f"select {big} from sales_{random.randrange(5)}.orders".encode()
        raw = msgpack.packb([0, self.number, cls, [fields, body]])
        cuts = sorted(random.randrange(len(raw)) for _ in range(pieces - 1))
        asked = Asked(told, cls, self.number, 0.0, 0.0, self, self.number == 1)
        try:
            for begin, end in zip([0, *cuts], [*cuts, len(raw)], strict=True):
                if begin:
                    self.loop.sleep(random.uniform(0.0, 60.0))
                if end == len(raw):
                    asked.sent = self.loop.now()
                    asked.due = asked.sent + float(fields["d"])
                    self.open[self.number] = asked
                self.stream.write(raw[begin:end])
        except StreamReset:
            self.open.pop(asked.number, None)
            return None
        if self.loop.over:  # it got nowhere
            self.open.pop(asked.number, None)
            return None
        self.record.asked[told] = asked
        return asked

    def wait(self, asked=None):
        """Wait for an answer, or all; for the connection's end at most."""
        while not self.gone and (not asked.answers and asked.left is None if asked else self.waiting()):
            self.loop.sleep(5.0)

    def leave(self, how, asked=None):
        """Withdraw what is asked, or close the connection in one of the ways."""
        if self.gone:
            return
        now = self.loop.now()
        for one in [asked] if how == "forget" else self.waiting():
            one.left = now if not one.answers and one.left is None else one.left
        try:
            if how == "forget":
                self.stream.write(msgpack.packb([2, "forget", [asked.number]]))
            elif how == "half":
                self.stream.outward.end()
            elif how == "close":
                self.stream.close()
            else:
                self.stream.abort()
        except StreamReset:
            pass

    def play_steady(self):
        for _ in range(self.random.randint(1, 5)):
            asked = self.send_request(self.random.choice([1, 1, 2, 4]))
            if asked is None:
                return
            if self.random.random() < 0.15:
                self.loop.sleep(self.random.uniform(0.0, 400.0))
                self.leave("forget", asked)
            self.wait(asked)
            if self.gone or self.play.leaving and self.random.random() < 0.7:
                break
            self.loop.sleep(self.random.uniform(0.0, 300.0))
        self.leave("close")

    def play_pipeline(self):
        many = [self.send_request() for _ in range(self.random.randint(3, 16))]
        self.loop.sleep(self.random.uniform(0.0, 300.0))
        for asked in many:
            if asked is not None and self.random.random() < 0.3 and not asked.answers:
                self.leave("forget", asked)
                self.loop.sleep(self.random.choice([0.0, 3.0]))
        self.wait()
        self.leave("close")

    def play_leaver(self):
        for _ in range(self.random.randint(1, 4)):
            self.send_request()
        self.loop.sleep(self.random.uniform(0.0, self.random.choice([0.0, 30.0, 900.0])))
        self.leave(self.random.choice(["close", "half", "reset"]))

    def play_glutton(self):
        for _ in range(self.random.randint(14, 30)):
            asked = self.send_request()
            self.loop.sleep(self.random.choice([0.0, 20.0]))
            if asked is not None and self.random.random() < 0.1:
                self.leave("forget", asked)
        for asked in self.waiting():
            if self.random.random() < 0.3:
                self.loop.sleep(self.random.uniform(0.0, 100.0))
                self.leave("forget", asked)
        self.wait()
        self.leave(self.random.choice(["close", "reset"]))

    def play_rester(self):
        asked = self.send_request()
        if asked is not None:
            self.wait(asked)
        while not self.gone and self.loop.now() < self.play.until + 1000.0:
            self.loop.sleep(self.random.uniform(100.0, 1500.0))
            if not self.gone and self.random.random() < 0.6:
                self.send_request(self.random.choice([1, 2]))
        self.wait()
        self.leave("close")

    def play_bad(self):
        with suppress(StreamReset):
            told = query_id(10**12 + self.play.callers)
            fields = {"i": told, "d": "900", "t": "nobody"}
            whole = msgpack.packb([0, 1, next(iter(self.play.classes)), [fields, b"x"]])
            endless = b"\x94\x00\x01\xc6\xff\xff\xff\xff"
            self.stream.write(self.random.choice([b"\xc1\xff" * 40, whole[:20], whole * 3, endless]))
            self.loop.sleep(self.random.uniform(0.0, 800.0))
        self.leave(self.random.choice(["close", "reset"]))


KINDS = {"steady": 10, "pipeline": 2, "leaver": 6, "glutton": 1, "rester": 2, "bad": 1}


class Play:
    """One day."""

    def __init__(self, seed):
        self.seed, self.random = seed, Random(f"crossings {seed}")
        random = self.random
        ceilings = SETTINGS["Ceilings"] | {
            "Cancel": random.random() < 0.6,
            "ParallelTries": random.random() < 0.5,
            "MaxAttempts": random.choice([1, 2, 3, 3, 4]),
            "DialTimeoutMs": random.choice([150.0, 400.0, 2000.0]),
        }
        self.classes = {}
        for told, effect in (("lookup", "repeatable"), ("tally", "by_key"), ("publish", "once")):
            self.classes[told] = {
                "Name": told,
                "AimMs": random.choice([300.0, 900.0]),
                "AimStretch": 1.5,
                "Effect": effect,
                "GiveUpMs": random.choice([900.0, 2000.0, 4000.0]),
                "Points": random.choice([1.0, 5.0]),
                "LateWorth": random.choice([0.0, 0.4]),
                "Group": random.choice(["all", "zone", "cell"]),
                "MemorySpanMs": random.choice([150.0, 400.0, 1500.0]),
            }
        self.settings = SETTINGS | {
            "Ceilings": ceilings,
            "Grades": list(self.classes.values()),
            "Rules": SETTINGS["Rules"] | {"DrainGraceMs": random.choice([0.0, 100.0, 600.0])},
            "FamilyInfo": SETTINGS["FamilyInfo"]
            | {"KindCores": [random.choice([1, 2, 16])], "WidthByClass": [1, 1, 1]},
        }
        self.sockets = random.choice([24, 48, 256])
        rough = random.choice([0.3, 1.0, 1.0, 2.0])
        self.rates = {
            told: rate * rough * random.choice([0.0, 1.0, 1.0])
            for told, rate in {
                "refused": 0.08,
                "unread": 0.04,
                "reset": 0.05,
                "error": 0.05,
                "stuck": 0.03,
                "long": 0.1,
                "spoilt": 0.12,
            }.items()
        }
        self.work_ms = random.choice([15.0, 60.0, 150.0])
        self.late = random.choice([0.0, 0.15, 0.4])
        self.record = Record(self.settings, self.classes)
        self.loop = CrossingLoop(seed, self.record, self.late)
        self.ids = self.callers = 0
        self.leaving = False
        self.until = 0.0
        self.events = []  # what befell the day

    def stated(self):
        """Return the settings that the controller is given."""
        return self.settings

    def told(self, instances):
        """Note that the controller has read of some executors."""
        for one in instances:
            host, port = one["hostPort"].rsplit(":", 1)
            self.record.told.append(
                Told(self.loop.now(), one["instanceId"], Address(host, int(port)), one["lifecycle"])
            )

    def instance(self, told, state="in_service", **more):
        zone, cell = self.record.places[Address(f"127.0.1.{told['number']}", 9090)]
        return instance(told["instance"], told["number"], state) | {"zone": zone, "cell": cell} | more

    def run(self):
        """Play it; return its faults."""
        self.loop.run(self._main)
        return self.record.judge()

    def _main(self):
        random, loop = self.random, self.loop
        members = BASE[: random.randint(2, 5)]
        for told in BASE:
            self.record.places[Address(f"127.0.1.{told['number']}", 9090)] = (
                random.choice(["east", "west"]),
                random.randrange(2),
            )
        self.members = {told["instance"]: told for told in members}
        self.engines = {
            told["instance"]: Engine(
                self, told, *self.record.places[Address(f"127.0.1.{told['number']}", 9090)]
            )
            for told in members
        }
        self.registry = Registry(self)
        known = [self.instance(told) for told in members]
        self.told(known)
        self.node = start_node(loop, known, sockets=self.sockets, **self.stated())
        began, length = loop.now(), random.uniform(2000.0, 5000.0)
        self.until = began + length
        for _ in range(random.randint(0, 7)):
            loop.spawn(self._trouble, random.uniform(0.0, length), name="peer: trouble")
        per_s = random.choice([4.0, 10.0, 25.0])
        loop.spawn(self._clients, per_s, name="peer: clients")
        leaves = random.random() < 0.45
        if leaves:
            self.until += 400.0
            loop.sleep(length)
            self.leaving = True
            self._leave()
        else:
            loop.sleep(length + END_MS)
            self._settled()
        loop.sleep(READS_MS)

    def _leave(self):
        """Tell it to end, and kill it as late as the platform does."""
        loop, longest = self.loop, min(3000.0, max(cls["GiveUpMs"] for cls in self.classes.values()))
        left = loop.spawn(self.node.shut_down, name="leave")
        with suppress(DeadlineExceeded), loop.deadline(longest + 700.0):
            left.join()
        loop.end()
        loop.sleep(20.0)
        self._books()

    def _settled(self):
        """Check that a controller with nothing to do holds nothing."""
        node, at = self.node, self.loop.now()
        driver, client = node.driver, node.executor_client
        left = {
            "entries": driver.ledger.entries,
            "names": node.frontend.open_query_ids,
            "queries": driver.gateway.queries,
            "tasks": driver.attempts.tasks,
            "deletes": client.cancellations.pending,
            "out": client.in_flight.by_query,
            "clients": [one for one in self.loop.held.values() if isinstance(one, Caller)],
        }
        for told, held in left.items():
            if held:
                self.record.fault("left over", at, f"{len(held)} {told}")
        self._books()

    def _books(self):
        node, at = self.node, self.loop.now()
        if not node.driver.ledger.is_balanced():
            self.record.fault("left over", at, "the books don't agree")
        if node.log.task_failures or node.driver.step_errors:
            self.record.fault("broke", at, f"{node.driver.step_errors} steps, {node.log.task_failures[:2]}")
        if self.record.links_most > int(self.sockets * LINKS_PART):
            self.record.fault("connections", at, f"{self.record.links_most}, with {self.sockets} descriptors")

    def _clients(self, per_s):
        random, loop = self.random, self.loop
        while loop.now() < self.until:
            loop.sleep(random.expovariate(per_s / 1000.0))
            for _ in range(random.choice([1] * 30 + [8])):
                if self.callers < self.sockets // 3 and not loop.over:
                    kind = random.choices(list(KINDS), list(KINDS.values()))[0]
                    self._client(kind)

    def _client(self, kind):
        def come():
            caller = Caller(self, kind)
            if not caller.gone:
                getattr(caller, f"play_{kind}")()

        self.callers += 1  # until its connection has ended
        self.loop.spawn(come, name="peer: client")

    def _trouble(self, after):
        random, loop = self.random, self.loop
        loop.sleep(after)
        what = random.choice(
            [
                "refuse",
                "cut",
                "cut",
                "hang",
                "hang",
                "reset",
                "drain",
                "drain",
                "replace",
                "crash",
                "silence",
                "outage",
                "move",
                "whole",
                "burst",
            ]
        )
        engine = self.engines[random.choice(sorted(self.engines))] if self.engines else None
        self.events.append((loop.now(), what, engine and engine.name))
        if what in ("silence", "outage"):
            getattr(self.registry, what)(random.uniform(300.0, 3000.0))
        elif what == "move":
            if not loop.over:
                self._move()
        elif what == "whole":
            self.registry.tell([self.instance(told) for told in self.members.values()], reset=True)
        elif what == "burst":
            for _ in range(min(8, self.sockets // 3 - self.callers)):
                self._client("leaver")
        elif engine is None or not engine.alive:
            return
        elif what == "reset":
            engine.reset()
        elif what in ("refuse", "cut", "hang"):
            getattr(engine, what)(random.uniform(100.0, 3000.0))
        else:
            self._go(engine, what)

    def _move(self):
        """Give it a new configuration, with the channel elsewhere."""
        old = self.registry
        self.loop.spawn(old.move, name="peer: channel moves")
        self.loop.sleep(0.0)
        self.node.reload(config_text([], channel=old.address, cursor=0, **self.stated()))

    def _go(self, engine, what):
        """Let an executor drain and go, or die at once; another may come at its address."""
        random, loop = self.random, self.loop
        told = self.members.pop(engine.name, None)
        if told is None:
            return
        if what != "crash":
            self.registry.tell([self.instance(told, "terminating")])
            loop.sleep(random.uniform(200.0, 2500.0))
        engine.stop()
        self.engines.pop(engine.name, None)
        if random.random() < 0.5:
            loop.sleep(random.uniform(0.0, 300.0))
        after = {"instance": f"{told['instance']}x", "number": told["number"]}
        replaced = what == "replace" or random.random() < 0.4
        gone = self.instance(told, "terminated")
        if replaced:
            self.engines[after["instance"]] = Engine(self, after, engine.zone, engine.cell)
            self.members[after["instance"]] = after
            fresh = self.instance(after, startedAtMs=int(loop.wall() * 1000) if random.random() < 0.5 else 0)
            self.registry.tell([gone, fresh] if random.random() < 0.5 else [fresh, gone])
        else:
            self.registry.tell([gone])


def play(seed) -> list[Fault]:
    """Play the day of a seed; return its faults."""
    return Play(seed).run()


if __name__ == "__main__":
    for seed in range(int(sys.argv[1]), int(sys.argv[2])):
        for fault in play(seed):
            print(seed, fault, flush=True)
